package counter

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lycheecrank.example/lock"
)

const (
	// longest is the largest time that a histogram tells apart; longer ones count as
	// this long.
	longest = 2 * time.Minute
	// digits is the precision of a histogram: two digits take 12 KB for each label.
	digits = 2
	// maxLabels bounds the memory of a group of histograms. Labels beyond it share
	// one histogram.
	maxLabels  = 64
	otherLabel = "other"
)

// bounds are the upper ends of the buckets that are published, in milliseconds.
// They are the same everywhere, so that buckets of several instances can be added.
var bounds = []int64{5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000, 30000}

// Histograms is a group of latency histograms with one name, such as the times of
// all routes. Concurrent calls are safe.
type Histograms struct {
	mu      *lock.Ranked
	byLabel map[string]*hdrhistogram.Histogram
}

// Latency is a histogram as it is published; times are in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   int64   `json:"p50"`
	P95   int64   `json:"p95"`
	P99   int64   `json:"p99"`
	Most  int64   `json:"max"`
	// UpTo has the number of times up to each bound.
	UpTo []Bucket `json:"upTo"`
}

// Bucket counts the times up to a bound.
type Bucket struct {
	BoundMs int64 `json:"boundMs"`
	Count   int64 `json:"count"`
}

// NewHistograms returns a group of histograms and publishes it under name.
func NewHistograms(name string) *Histograms {
	h := &Histograms{mu: lock.New(lock.RankCounter, "histograms "+name), byLabel: map[string]*hdrhistogram.Histogram{}}
	Publish(name, func() any { return h.Values() })
	return h
}

// Record adds a time under a label.
func (h *Histograms) Record(label string, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	one, ok := h.byLabel[label]
	if !ok {
		if len(h.byLabel) >= maxLabels {
			label = otherLabel
		}
		if one, ok = h.byLabel[label]; !ok {
			one = hdrhistogram.New(1, longest.Milliseconds(), digits)
			h.byLabel[label] = one
		}
	}
	// Within the bounds of the histogram no value is refused.
	_ = one.RecordValue(min(longest, max(0, took)).Milliseconds())
}

// Values returns all histograms by label.
func (h *Histograms) Values() map[string]Latency {
	h.mu.Lock()
	defer h.mu.Unlock()
	values := make(map[string]Latency, len(h.byLabel))
	for label, one := range h.byLabel {
		values[label] = latencyOf(one)
	}
	return values
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	l := Latency{
		Count: h.TotalCount(), Mean: h.Mean(), P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95),
		P99: h.ValueAtQuantile(99), Most: h.Max(),
	}
	for _, b := range bounds {
		l.UpTo = append(l.UpTo, Bucket{BoundMs: b})
	}
	for _, bar := range h.Distribution() {
		for i := range l.UpTo {
			if bar.To <= l.UpTo[i].BoundMs {
				l.UpTo[i].Count += bar.Count
			}
		}
	}
	return l
}
