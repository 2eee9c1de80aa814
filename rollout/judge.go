package rollout

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

const (
	// minBad is the number of bad responses from which a version may be judged bad.
	// minBadLast applies to the last checks, before all requests go to the version, where
	// another sample isn't possible on a route with little traffic.
	minBad     = 6
	minBadLast = 3
	// A version is bad if its bad responses have a probability below badProbability, or
	// below lastProbability in the last checks, with badFactor times the share of the old
	// version plus badMargin.
	badProbability  = 1e-5
	lastProbability = 1e-4
	badFactor       = 2
	badMargin       = 0.02
	// minOtherBad is the number of bad responses from other servers than the worst one.
	minOtherBad = 2
	// minTimed is the number of times from which a version may be judged slow.
	// minTimedLast applies to the last checks.
	minTimed     = 12
	minTimedLast = 8
	// slowFactor is the factor between the medians of a slow version and the old one.
	slowFactor = 3
	// slowTailFactor is the factor between the times of single slow responses and the 0.9
	// quantile of the old version, and minSlow the number of these. Servers that just
	// started have an empty cache, so that many of their good responses take as long as
	// the slowest of the old version.
	slowTailFactor = 2.5
	minSlow        = 8
	slowMargin     = 0.06
)

// Verdict is what the evidence shows about a version.
type Verdict struct {
	IsBad bool
	// IsSingle is set if the responses would show a bad version, but come from one server
	// while there are others that have got no request.
	IsSingle bool
	Reason   string
}

// judge compares the versions on each route and over all routes. listed is the number of
// listed servers of the new version. isLast applies the thresholds of the last checks.
func judge(totals Totals, listed int, isLast bool) Verdict {
	verdict := Verdict{}
	if all := totals.fresh(""); len(all) == 1 && listed > 1 && all[0].Bad >= minOtherBad {
		verdict = Verdict{IsSingle: true, Reason: fmt.Sprintf("%d of %d responses of %s bad", all[0].Bad, all[0].Count, all[0].Server)}
	}
	for _, route := range append(totals.routes(), "") {
		v := judgeRoute(totals, route, listed, isLast)
		if v.IsBad {
			return v
		}
		if v.IsSingle {
			verdict = v
		}
	}
	return verdict
}

func judgeRoute(totals Totals, route string, listed int, isLast bool) Verdict {
	old, fresh := totals.old(route), totals.fresh(route)
	name := route
	if name == "" {
		name = "all routes"
	}
	if reason, ok := isFailing(old, fresh, isLast); ok {
		return attributed(name+": "+reason, fresh, listed, 1, isLast, func(r Row) float64 { return float64(r.Bad) }, func(others []Row) bool {
			rest := sum(others)
			return rest.Bad >= minOtherBad || rest.Bad > 0 && rest.Bad == rest.Count
		})
	}
	// Times of different routes can't be compared.
	if route == "" {
		return Verdict{}
	}
	if reason, ok := isSlow(old, fresh, isLast, 1); ok {
		// Slow servers have more responses in the evidence than failed ones.
		return attributed(name+": "+reason, fresh, listed, max(1, (len(fresh)+2)/4), isLast, func(r Row) float64 {
			median, _ := r.quantile(0.5)
			return float64(r.timed()) * float64(median)
		}, func(others []Row) bool {
			_, isOthersSlow := isSlow(old, others, isLast, 0.4)
			return isOthersSlow
		})
	}
	return Verdict{}
}

// attributed returns the verdict on a version whose responses are bad, unless the servers
// with the highest weight explain it: those are faults of servers. If all responses come from
// one server, other servers are needed first, except in the last checks.
func attributed(reason string, fresh []Row, listed, excluded int, isLast bool, weight func(Row) float64, isBadWithout func(others []Row) bool) Verdict {
	if len(fresh) <= 1 {
		if listed <= 1 || isLast {
			return Verdict{IsBad: true, Reason: reason}
		}
		return Verdict{IsSingle: true, Reason: reason}
	}
	others := slices.Clone(fresh)
	slices.SortStableFunc(others, func(a, b Row) int { return cmp.Compare(weight(a), weight(b)) })
	if !isBadWithout(others[:len(others)-excluded]) {
		return Verdict{}
	}
	return Verdict{IsBad: true, Reason: reason}
}

// isFailing reports whether the new version fails clearly more often than the old one.
func isFailing(old Row, fresh []Row, isLast bool) (string, bool) {
	all := sum(fresh)
	least, probability := int64(minBad), badProbability
	if isLast {
		least, probability = minBadLast, lastProbability
	}
	if all.Bad < least {
		return "", false
	}
	oldShare := float64(old.Bad) / float64(max(1, old.Count))
	if upperTail(all.Count, all.Bad, min(0.95, badFactor*oldShare+badMargin)) >= probability {
		return "", false
	}
	return fmt.Sprintf("%d of %d responses bad, %d of %d of the old version", all.Bad, all.Count, old.Bad, old.Count), true
}

// isSlow reports whether the new version responds much later than the old one. The needed
// numbers of responses are multiplied by a scale.
func isSlow(old Row, fresh []Row, isLast bool, scale float64) (string, bool) {
	all := sum(fresh)
	least, slowest := float64(minTimed), float64(minSlow)
	if isLast {
		least, slowest = minTimedLast, minTimedLast
	}
	oldMedian, ok := old.quantile(0.5)
	if !ok || old.timed() < minTimed || float64(all.timed()) < scale*least {
		return "", false
	}
	median, _ := all.quantile(0.5)
	if median-oldMedian >= factorBuckets(slowFactor) {
		return fmt.Sprintf("median time %.0f ms, %.0f ms of the old version", bucketTime(median), bucketTime(oldMedian)), true
	}
	high, _ := old.quantile(0.9)
	limit := max(high+factorBuckets(slowTailFactor), oldMedian+factorBuckets(slowFactor))
	slow, oldSlow := all.above(limit), old.above(limit)
	share := badFactor*float64(oldSlow)/float64(old.timed()) + slowMargin
	if float64(slow) < scale*slowest || upperTail(all.timed(), slow, min(0.95, share)) >= math.Pow(lastProbability, scale) {
		return "", false
	}
	return fmt.Sprintf("%d of %d responses slower than %.0f ms, %d of %d of the old version", slow, all.timed(), bucketTime(limit), oldSlow, old.timed()), true
}

// bucketTime returns the lower bound of a bucket in milliseconds.
func bucketTime(bucket int) float64 { return math.Pow(bucketRatio, float64(bucket)) }

// upperTail returns the probability of at least k events among n with probability p each.
func upperTail(n, k int64, p float64) float64 {
	if k <= 0 {
		return 1
	}
	result := 0.0
	logChoose := func(i int64) float64 {
		all, _ := math.Lgamma(float64(n + 1))
		in, _ := math.Lgamma(float64(i + 1))
		out, _ := math.Lgamma(float64(n - i + 1))
		return all - in - out
	}
	for i := k; i <= n; i++ {
		term := math.Exp(logChoose(i) + float64(i)*math.Log(p) + float64(n-i)*math.Log1p(-p))
		result += term
		// Beyond the mean, the terms only shrink.
		if float64(i) > p*float64(n) && term < result*1e-9 {
			break
		}
	}
	return min(1, result)
}
