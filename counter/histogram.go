package counter

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lycheecrank.example/lock"
)

const (
	// maxDuration is the largest duration of a histogram. Longer durations are recorded
	// as this value.
	maxDuration = 2 * time.Minute
	// significantDigits is the precision of a histogram. With two digits, each label
	// takes 12 KB.
	significantDigits = 2
	// maxLabels bounds the memory of a group of histograms. Labels beyond it share
	// one histogram.
	maxLabels     = 64
	overflowLabel = "other"
)

// bucketBoundsMs are the upper bounds of the published buckets. They are the same
// for all histograms, so that the buckets of several instances can be added.
var bucketBoundsMs = []int64{5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000, 30000}

// Histograms is a group of latency histograms with one name, such as the latencies
// of all routes by label. Concurrent calls are safe.
type Histograms struct {
	mu      *lock.Ranked
	byLabel map[string]*hdrhistogram.Histogram
}

// LatencySummary is the published summary of a histogram, in milliseconds.
type LatencySummary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   int64   `json:"p50"`
	P95   int64   `json:"p95"`
	P99   int64   `json:"p99"`
	Max   int64   `json:"max"`
	// CumulativeBuckets are ordered by bound. Each one also counts the durations of
	// the buckets before it.
	CumulativeBuckets []Bucket `json:"upTo"`
}

// Bucket is the number of durations up to a bound.
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

// Record adds a duration to the histogram of a label.
func (h *Histograms) Record(label string, duration time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	histogram, ok := h.byLabel[label]
	if !ok {
		if len(h.byLabel) >= maxLabels {
			label = overflowLabel
		}
		if histogram, ok = h.byLabel[label]; !ok {
			histogram = hdrhistogram.New(1, maxDuration.Milliseconds(), significantDigits)
			h.byLabel[label] = histogram
		}
	}
	// RecordValue fails only for values outside the histogram's range.
	_ = histogram.RecordValue(min(maxDuration, max(0, duration)).Milliseconds())
}

// Values returns all histograms by label.
func (h *Histograms) Values() map[string]LatencySummary {
	h.mu.Lock()
	defer h.mu.Unlock()
	values := make(map[string]LatencySummary, len(h.byLabel))
	for label, histogram := range h.byLabel {
		values[label] = summarize(histogram)
	}
	return values
}

func summarize(h *hdrhistogram.Histogram) LatencySummary {
	l := LatencySummary{
		Count: h.TotalCount(), Mean: h.Mean(), P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95),
		P99: h.ValueAtQuantile(99), Max: h.Max(),
	}
	for _, b := range bucketBoundsMs {
		l.CumulativeBuckets = append(l.CumulativeBuckets, Bucket{BoundMs: b})
	}
	for _, bar := range h.Distribution() {
		for i := range l.CumulativeBuckets {
			if bar.To <= l.CumulativeBuckets[i].BoundMs {
				l.CumulativeBuckets[i].Count += bar.Count
			}
		}
	}
	return l
}
