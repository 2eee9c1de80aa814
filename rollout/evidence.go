package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"lycheecrank.example/feed"
)

// Response is the response of a server to a request, or its lack.
type Response struct {
	Pool   string
	Route  string
	Server string
	// Version is the version of the server, empty to look it up.
	Version string
	// IsBad is set for a response with a status of 500 or above to a request that the
	// server has run, and for a truncated or invalid one.
	IsBad bool
	// Took is the time to the first byte or event, 0 if there was none.
	Took time.Duration
	// IsLost is set if there was no response at all.
	IsLost bool
}

// Row counts the responses on a route. It is an immutable value.
type Row struct {
	Route string `msgpack:"r"`
	// Server is the server of the new version, empty for all servers of the old one.
	Server string `msgpack:"s,omitempty"`
	Count  int64  `msgpack:"n"`
	Bad    int64  `msgpack:"b,omitempty"`
	// Lost counts the requests without a response, which Count doesn't.
	Lost int64 `msgpack:"l,omitempty"`
	// Times counts the responses by the logarithm of their time (see bucketOf).
	Times map[int]int64 `msgpack:"t,omitempty"`
}

// rowKey identifies a row of an order.
type rowKey struct{ route, server string }

func (r Row) key() rowKey { return rowKey{r.Route, r.Server} }

const (
	// bucketRatio is the ratio of the bounds of a bucket of times.
	bucketRatio = 1.25
	maxBucket   = 63
)

// bucketOf returns the number of the bucket of a time.
func bucketOf(took time.Duration) int {
	ms := max(1, float64(took)/float64(time.Millisecond))
	return min(maxBucket, int(math.Log(ms)/math.Log(bucketRatio)))
}

// factorBuckets returns the number of buckets between a time and a multiple of it.
func factorBuckets(factor float64) int {
	return int(math.Round(math.Log(factor) / math.Log(bucketRatio)))
}

// withResponse returns the row with one more response.
func (r Row) withResponse(response Response) Row {
	if response.IsLost {
		r.Lost++
		return r
	}
	r.Count++
	if response.IsBad {
		r.Bad++
	}
	if response.Took > 0 {
		r.Times = maps.Clone(r.Times)
		if r.Times == nil {
			r.Times = map[int]int64{}
		}
		r.Times[bucketOf(response.Took)]++
	}
	return r
}

// add adds another row to one that shares its times with no other. Copies for each addition
// took most of the time of a decision of the leader of 91 instances.
func (r *Row) add(other Row) {
	r.Count += other.Count
	r.Bad += other.Bad
	r.Lost += other.Lost
	if r.Times == nil {
		r.Times = make(map[int]int64, len(other.Times))
	}
	for bucket, n := range other.Times {
		r.Times[bucket] += n
	}
}

// minus returns what was added to the row after an earlier one.
func (r Row) minus(earlier Row) Row {
	r.Count -= earlier.Count
	r.Bad -= earlier.Bad
	r.Lost -= earlier.Lost
	times := make(map[int]int64, len(r.Times))
	for bucket, n := range r.Times {
		if n > earlier.Times[bucket] {
			times[bucket] = n - earlier.Times[bucket]
		}
	}
	r.Times = times
	return r
}

// timed returns the number of responses with a time.
func (r Row) timed() int64 {
	total := int64(0)
	for _, n := range r.Times {
		total += n
	}
	return total
}

// quantile returns the bucket with a quantile of the times, or false if there are none.
func (r Row) quantile(q float64) (int, bool) {
	total := r.timed()
	if total == 0 {
		return 0, false
	}
	rank := int64(q * float64(total-1))
	for _, bucket := range slices.Sorted(maps.Keys(r.Times)) {
		if rank -= r.Times[bucket]; rank < 0 {
			return bucket, true
		}
	}
	return maxBucket, true
}

// above returns the number of responses in buckets from a given one on.
func (r Row) above(bucket int) int64 {
	total := int64(0)
	for b, n := range r.Times {
		if b >= bucket {
			total += n
		}
	}
	return total
}

// Evidence is what one instance has seen of a rollout since its order. It is an immutable
// value, which instances send each other.
type Evidence struct {
	Pool string `msgpack:"pool"`
	// Era and Offset are the position of the order.
	Era    uint64 `msgpack:"era,omitempty"`
	Offset uint64 `msgpack:"offset"`
	// Source names the process of the instance.
	Source string `msgpack:"source"`
	Rows   []Row  `msgpack:"rows"`
}

func (e Evidence) position() feed.Position { return feed.Position{Era: e.Era, Offset: e.Offset} }

func (e Evidence) count() int64 {
	total := int64(0)
	for _, r := range e.Rows {
		total += r.Count + r.Lost
	}
	return total
}

// bad returns the number of bad responses of the new version.
func (e Evidence) bad() int64 {
	total := int64(0)
	for _, r := range e.Rows {
		if r.Server != "" {
			total += r.Bad
		}
	}
	return total
}

// Totals are the rows of all instances, by route and server.
type Totals map[rowKey]Row

// total returns the sums of the evidence of several instances, without routes that are no
// longer configured.
func total(sources []Evidence, isRoute func(name string) bool) Totals {
	totals := Totals{}
	for _, e := range sources {
		for _, r := range e.Rows {
			if isRoute == nil || isRoute(r.Route) {
				sum := totals[r.key()]
				sum.Route, sum.Server = r.Route, r.Server
				sum.add(r)
				totals[r.key()] = sum
			}
		}
	}
	return totals
}

// since returns what was added to the totals after earlier ones.
func (t Totals) since(earlier Totals) Totals {
	next := make(Totals, len(t))
	for key, r := range t {
		if before, ok := earlier[key]; ok {
			r = r.minus(before)
		}
		if r.Count > 0 || r.Lost > 0 {
			next[key] = r
		}
	}
	return next
}

// routes returns the routes with responses, sorted.
func (t Totals) routes() []string {
	names := map[string]bool{}
	for key := range t {
		names[key.route] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// old returns the responses of the old version on a route, or on all for an empty name.
func (t Totals) old(route string) Row {
	sum := Row{Route: route}
	for key, r := range t {
		if key.server == "" && (route == "" || key.route == route) {
			sum.add(r)
		}
	}
	return sum
}

// fresh returns the responses of the new version on a route, or on all for an empty name,
// by server.
func (t Totals) fresh(route string) []Row {
	byServer := map[string]Row{}
	for key, r := range t {
		if key.server != "" && (route == "" || key.route == route) {
			sum := byServer[key.server]
			sum.add(r)
			sum.Route, sum.Server = route, key.server
			byServer[key.server] = sum
		}
	}
	return slices.SortedFunc(maps.Values(byServer), func(a, b Row) int { return cmp.Compare(a.Server, b.Server) })
}

func sum(rows []Row) Row {
	var result Row
	for _, r := range rows {
		result.add(r)
	}
	return result
}
