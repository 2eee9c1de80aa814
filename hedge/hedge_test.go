package hedge

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"
)

var class = Class{Route: "lookup", Pool: "registry"}

// Guards against a delay that is a fixed time, that is known without enough samples or
// from outdated ones, against second sends where the tail is too short for them, and
// against a pool that counts as slow for ever.
func TestProfile(t *testing.T) {
	ms := func(f float64) time.Duration { return time.Duration(f * float64(time.Millisecond)) }
	rows := []struct {
		name string
		took func(r *rand.Rand, second float64) time.Duration
	}{
		{"constant", func(*rand.Rand, float64) time.Duration { return ms(20) }},
		{"uniform", func(r *rand.Rand, _ float64) time.Duration { return ms(15 + 10*r.Float64()) }},
		{"logarithmic normal", func(r *rand.Rand, _ float64) time.Duration { return ms(20 * math.Exp(0.4*r.NormFloat64())) }},
		{"one in 50 stalls", func(r *rand.Rand, _ float64) time.Duration {
			if r.IntN(50) == 0 {
				return ms(300)
			}
			return ms(15 + 10*r.Float64())
		}},
		{"Pareto, index 1.5", func(r *rand.Rand, _ float64) time.Duration { return ms(10 / math.Pow(1-r.Float64(), 1/1.5)) }},
		{"three times as long from 10 s", func(r *rand.Rand, second float64) time.Duration {
			if second >= 10 {
				return ms(60 + 30*r.Float64())
			}
			return ms(20 + 10*r.Float64())
		}},
	}
	var b strings.Builder
	for _, row := range rows {
		random := rand.New(rand.NewPCG(6, 1))
		now := time.Unix(1000, 0)
		table := NewTable(0.05)
		fmt.Fprintln(&b, row.name)
		for second := 0.0; second < 300; second += 0.05 {
			now = now.Add(50 * time.Millisecond)
			table.Commands().Record(class, Sample{Took: row.took(random, second), At: now})
			switch tick := int(math.Round(second*20)) + 1; tick {
			case 32, 40, 199, 216, 400, 1200, 6000:
				delay, ok := table.Queries().Delay(class, now)
				p := table.profile(class, now)
				fmt.Fprintf(&b, "  %6.2f s: known %-5v delay %-9v median %-9v tail %-5v slow %v\n", float64(tick)/20, ok,
					delay.Round(100*time.Microsecond), p.Median.Round(100*time.Microsecond), p.HasTail, p.isSlow())
			}
		}
		_, ok := table.Queries().Delay(class, now.Add(maxAge+time.Second))
		fmt.Fprintf(&b, "  outdated: known %v\n", ok)
	}
	goldie.New(t).Assert(t, "profile", []byte(b.String()))
}

// Guards against a second send while the whole pool is slow or short of capacity, for a
// request without time, where the tail is short, or without knowledge of the pool, and
// against a slow server that counts as a slow pool.
func TestDecide(t *testing.T) {
	now := time.Unix(1000, 0)
	sound := Profile{Delay: 50 * time.Millisecond, Median: 20 * time.Millisecond, Baseline: 20 * time.Millisecond, HasTail: true, At: now}
	slow, short := sound, sound
	slow.Median = 41 * time.Millisecond
	short.HasTail = false
	results := func(inTime, late int, server string, at time.Time) []Result {
		var all []Result
		for n := range inTime + late {
			all = append(all, Result{Server: server, IsLate: n < late, At: at})
		}
		return all
	}
	pool := results(20, 1, "b", now)
	rows := []struct {
		name      string
		profile   Profile
		results   []Result
		refusedAt time.Time
		left      time.Duration
		want      Verdict
	}{
		{"late", sound, pool, time.Time{}, time.Second, Send},
		{"late at a slow server", sound, append(results(0, 12, "a", now), pool...), time.Time{}, time.Second, Send},
		{"pool late", sound, results(14, 7, "b", now), time.Time{}, time.Second, PoolSlow},
		{"pool was late", sound, append(results(0, 20, "b", now.Add(-6*time.Second)), pool...), time.Time{}, time.Second, Send},
		{"median doubled", slow, pool, time.Time{}, time.Second, PoolSlow},
		{"refused just now", sound, pool, now.Add(-999 * time.Millisecond), time.Second, Shortage},
		{"refused before", sound, pool, now.Add(-time.Second), time.Second, Send},
		{"no time left", sound, pool, time.Time{}, 19 * time.Millisecond, TooLate},
		{"short tail", short, pool, time.Time{}, time.Second, NoTail},
		{"other servers unknown", sound, append(results(20, 0, "a", now), results(7, 0, "b", now)...), time.Time{}, time.Second, UnknownResults},
		{"times unknown", Profile{}, pool, time.Time{}, time.Second, UnknownResults},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Decide(row.profile, row.results, "a", row.refusedAt, row.left, now), row.want)
		})
	}
}

// Guards against more second sends than the share of the requests, also at the start and
// after a calm time, and against sends that are paid for by other routes.
func TestShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, MaxShare).Draw(t, "share")
		table := NewTable(share)
		c := table.Commands()
		now := time.Unix(1000, 0)
		requests, sends, sinceCalm := 0, 0, 0
		for range rapid.IntRange(0, 500).Draw(t, "requests") {
			c.Deposit("a", now)
			requests++
			if rapid.IntRange(0, 3).Draw(t, "isLate") > 0 && c.Take("a") {
				if rapid.Bool().Draw(t, "isReturned") {
					c.Return("a")
				} else {
					sends++
				}
			}
			if float64(sends) > share*float64(requests)+1e-9 {
				t.Fatalf("%d second sends of %d requests", sends, requests)
			}
		}
		for c.Take("a") {
			sinceCalm++
		}
		if sinceCalm > maxTokens || c.Take("b") {
			t.Fatalf("%d second sends at once", sinceCalm)
		}
	})
}

// Guards against tables that grow with the names of removed routes and pools.
func TestUnusedNames(t *testing.T) {
	is := is.New(t)
	table := NewTable(0.05)
	c, now := table.Commands(), time.Unix(1000, 0)
	for n := range 3 * maxClasses {
		name := fmt.Sprint(n)
		at := now.Add(time.Duration(n) * time.Second)
		c.Deposit(name, at)
		c.RecordRefusal(name, at)
		c.Record(Class{Route: name}, Sample{At: at})
	}
	is.True(max(len(table.tokens), len(table.pools), len(table.classes)) <= maxClasses)
}

// Guards against a share out of range that is accepted.
func TestCheckShare(t *testing.T) {
	is := is.New(t)
	for _, share := range []float64{0, 0.05, MaxShare} {
		is.NoErr(CheckShare(share))
	}
	for _, share := range []float64{-0.001, 0.1001, math.NaN(), math.Inf(1)} {
		is.True(errors.Is(CheckShare(share), ErrShare))
	}
}
