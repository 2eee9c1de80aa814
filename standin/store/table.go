// Package store holds the state of the platform stand-in: the streams of the
// log and the list of instances.
package store

import (
	"time"

	"golang.org/x/time/rate"

	"lycheecrank.example/lock"
	"lycheecrank.example/provider"
)

// Options sets the limits of the platform. The zero value is useful.
type Options struct {
	// InstanceTTL is how long an entry of the list lives without a refresh; 0
	// means 10 s.
	InstanceTTL time.Duration
	// Retain is how many records a stream keeps; 0 means all.
	Retain int
	// AppendsPerSecond limits the appends to all streams together; 0 means no
	// limit.
	AppendsPerSecond float64
}

// Table holds the state of the platform.
type Table struct {
	lock      *lock.Ranked
	options   Options
	streams   map[string]stream
	instances map[string][]sighting
	appends   *rate.Limiter
}

// NewTable returns an empty platform.
func NewTable(o Options) *Table {
	if o.InstanceTTL == 0 {
		o.InstanceTTL = 10 * time.Second
	}
	t := &Table{
		lock:      lock.New(lock.RankCounter+1, "standin store"),
		options:   o,
		streams:   map[string]stream{},
		instances: map[string][]sighting{},
		appends:   rate.NewLimiter(rate.Inf, 0),
	}
	if o.AppendsPerSecond > 0 {
		t.appends = rate.NewLimiter(rate.Limit(o.AppendsPerSecond), burst(o.AppendsPerSecond))
	}
	return t
}

// burst allows a tenth of a second at once, at least one.
func burst(perSecond float64) int { return max(1, int(perSecond/10)) }

// stream is an immutable value; withRecords makes the next one.
type stream struct {
	records []provider.Record
	next    uint64
	// changed is closed when the next value replaces this one.
	changed chan struct{}
}

func newStream() stream { return stream{next: 1, changed: make(chan struct{})} }

func (s stream) earliest() uint64 { return s.next - uint64(len(s.records)) }

// withRecords returns the stream with records appended, of which it retains
// the last ones. The two values share memory, since an append writes only
// behind the end of the older value.
func (s stream) withRecords(data [][]byte, at time.Time, retain int) stream {
	for _, d := range data {
		s.records = append(s.records, provider.Record{Offset: s.next, Data: d, AppendedAt: at})
		s.next++
	}
	if retain > 0 && len(s.records) > retain {
		s.records = s.records[len(s.records)-retain:]
	}
	s.changed = make(chan struct{})
	return s
}

// sighting is an announcement of an instance.
type sighting struct {
	at       time.Time
	instance provider.Instance
}
