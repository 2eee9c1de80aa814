package speed

import (
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

// Guards against a factor that follows each change of the figure, that follows a lasting
// change too late, or that stays after the reports have ended.
func TestFactor(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 1))
	rows := []struct {
		name string
		// slowness is the figure at a time.
		slowness func(second float64) float64
	}{
		{"as usual", func(float64) float64 { return 1 }},
		{"fluctuates between 0.7 and 1.3", func(float64) float64 { return 0.7 + 0.6*random.Float64() }},
		{"one in ten reports is 6", func(float64) float64 {
			if random.IntN(10) == 0 {
				return 6
			}
			return 1
		}},
		{"alternates between 1 and 3 each 50 ms", func(second float64) float64 { return 1 + 2*float64(int(second*20)%2) }},
		{"3 from 1 s", func(second float64) float64 {
			if second < 1 {
				return 1
			}
			return 3
		}},
		{"3 up to 1 s", func(second float64) float64 {
			if second < 1 {
				return 3
			}
			return 1
		}},
		{"absurd figures", func(float64) float64 { return []float64{1e300, math.Inf(1), 1e-300}[random.IntN(3)] }},
		{"not reported", func(float64) float64 { return 0 }},
	}
	var b strings.Builder
	start := time.Unix(1000, 0)
	for _, row := range rows {
		for _, interval := range []time.Duration{5 * time.Millisecond, 60 * time.Millisecond, 400 * time.Millisecond} {
			var e Estimate
			var factors []string
			next := time.Duration(0)
			for at := time.Duration(0); at <= 3500*time.Millisecond; at += 5 * time.Millisecond {
				now := start.Add(at)
				if at >= next && at <= 2500*time.Millisecond {
					e = e.WithReport(Report{Slowness: row.slowness(at.Seconds())}, now)
					next = at + interval/2 + time.Duration(random.Int64N(int64(interval)))
				}
				if at%(250*time.Millisecond) == 0 {
					factors = append(factors, fmt.Sprintf("%.2f", e.Factor(now)))
				}
			}
			fmt.Fprintf(&b, "%-38s each %5v: %s\n", row.name, interval, strings.Join(factors, " "))
		}
	}
	goldie.New(t).Assert(t, "factor", []byte(b.String()))
}

// Guards against a factor out of bounds, and against a server that is avoided for longer
// than the lifetime of its reports, whatever it reported in whatever order.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e Estimate
		now := time.Unix(1000, 0)
		latest := now
		for range rapid.IntRange(0, 40).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(2*lifetime)).Draw(t, "pause")))
			at := now.Add(-time.Duration(rapid.Int64Range(0, int64(2*lifetime)).Draw(t, "age")))
			if at.After(latest) {
				latest = at
			}
			e = e.WithReport(Report{Slowness: rapid.Float64().Draw(t, "slowness")}, at)
			if rapid.Bool().Draw(t, "isMeasured") {
				e = e.WithMeasurement(0.1, now)
			}
			if f := e.Factor(now); !(f >= minSlowness-1e-9 && f <= maxSlowness+1e-9) {
				t.Fatalf("factor %g", f)
			}
			if r := e.Ratio(now); !(r >= minSlowness/maxSlowness-1e-9 && r <= maxSlowness/minSlowness+1e-9) {
				t.Fatalf("ratio %g", r)
			}
		}
		at := latest.Add(lifetime)
		if e.Factor(at) != 1 {
			t.Fatalf("factor %g after the lifetime of the reports", e.Factor(at))
		}
		for range 200 {
			e = e.WithMeasurement(0.1, at)
		}
		if math.Abs(e.Ratio(at)-1) > 1e-6 {
			t.Fatalf("ratio %g after the lifetime of the reports and many measurements", e.Ratio(at))
		}
	})
}

// Guards against slowness that counts twice: in the measured times and in the ratio.
func TestRatio(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var e Estimate
	is.Equal(e.WithMeasurement(0.1, now).Ratio(now), 1.0)
	step := func(slowness float64, steps int) {
		for range steps {
			now = now.Add(50 * time.Millisecond)
			e = e.WithReport(Report{Slowness: slowness}, now).WithMeasurement(0.1, now)
		}
	}
	step(2, 100)
	is.True(math.Abs(e.Ratio(now)-1) < 0.01) // the measured times contain it
	is.True(math.Abs(e.Factor(now)-(2-noise)) < 0.01)
	now = now.Add(50 * time.Millisecond)
	for range 10 {
		now = now.Add(50 * time.Millisecond)
		e = e.WithReport(Report{Slowness: 1}, now)
	}
	is.True(e.Ratio(now) < 0.9) // faster than at the time of the measurements
	step(1, 100)
	is.True(math.Abs(e.Ratio(now)-1) < 0.01)
	step(2, 100)
	is.True(math.Abs(e.Ratio(now.Add(lifetime))-(0.5+noise)) < 0.01) // as usual, although the measured times are not
}
