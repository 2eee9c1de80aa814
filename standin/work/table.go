// Package work holds the state of the backend stand-ins: what runs, how warm
// the server is, the attempts and prefix cache of an engine, and the totals of
// a plain service.
package work

import (
	"context"
	"errors"
	"time"

	"lycheecrank.example/lock"
)

// Sentinel errors of work that is refused or broken off.
var (
	// ErrCold: the server fell over a moment ago. The work had no effect.
	ErrCold = errors.New("cold")
	// ErrOverloaded: the warm server has its full load. The work had no effect.
	ErrOverloaded = errors.New("overloaded")
	// ErrLeaving: the server stops. The work had no effect.
	ErrLeaving = errors.New("leaving")
	// ErrFellOver: a cold server got too much and dropped all that it ran.
	ErrFellOver = errors.New("fell over")
	// ErrCancelled: the caller stopped the attempt.
	ErrCancelled = errors.New("cancelled")
	// ErrTakenOver: another stream continues the attempt.
	ErrTakenOver = errors.New("taken over by a resumed stream")
	// ErrUnknown: the server doesn't know the attempt or the prefix.
	ErrUnknown = errors.New("unknown")
	// ErrFenced: the order carries an old fencing number.
	ErrFenced = errors.New("old fencing number")
	// ErrCorrupt: the cache doesn't belong to the prefix.
	ErrCorrupt = errors.New("corrupt cache")
)

// Limits says what the server bears. The zero value is useful.
type Limits struct {
	// MaxInFlight is the limit of a warm server; 0 means 8.
	MaxInFlight int
	// ColdInFlight is the limit of a cold server, over which it falls over; 0
	// means 1.
	ColdInFlight int
	// ColdForRequests is how many requests must succeed until the server is
	// warm; 0 means that it starts warm and stays cold for 8 requests after a
	// fault.
	ColdForRequests int
	// FallenFor is how long a server that fell over refuses everything; 0 means
	// 1 s.
	FallenFor time.Duration
	// HonourFencing refuses orders with an old fencing number.
	HonourFencing bool
	// CachedPrefixes bounds the prefix cache; 0 means 64.
	CachedPrefixes int
}

func (l Limits) withDefaults() Limits {
	set := func(field *int, value int) {
		if *field == 0 {
			*field = value
		}
	}
	set(&l.MaxInFlight, 8)
	set(&l.ColdInFlight, 1)
	set(&l.CachedPrefixes, 64)
	if l.FallenFor == 0 {
		l.FallenFor = time.Second
	}
	return l
}

// Table holds the state of one backend server.
type Table struct {
	lock    *lock.Ranked
	limits  Limits
	load    Load
	history []Load
	// running maps the number of each running piece of work to its end.
	running map[uint64]context.CancelCauseFunc
	started uint64
	// fallenUntil is when a server that fell over takes work again.
	fallenUntil time.Time
	// leavingSince is when the server began to report that it is leaving.
	leavingSince time.Time
	stopping     bool
	counts       map[string]int64
	attempts     map[Identity]Attempt
	remembered   []Identity
	prefixes     map[string]string
	cached       []string
	events       []CacheEvent
	lastEvent    uint64
	// moreEvents is closed at the next event.
	moreEvents chan struct{}
	fence      uint64
	executions map[string]int
	totals     map[string]Total
}

// NewTable returns a server that has just started: cold if ColdForRequests is
// above 0.
func NewTable(l Limits) *Table {
	cold := l.ColdForRequests > 0
	l = l.withDefaults()
	if !cold {
		l.ColdForRequests = 8
	}
	start := Load{At: time.Now()}
	if cold {
		start = start.WithCold(l.ColdForRequests)
	}
	return &Table{
		lock:       lock.New(lock.RankCounter+2, "standin work"),
		limits:     l,
		load:       start,
		history:    []Load{start},
		running:    map[uint64]context.CancelCauseFunc{},
		counts:     map[string]int64{},
		attempts:   map[Identity]Attempt{},
		prefixes:   map[string]string{},
		moreEvents: make(chan struct{}),
		executions: map[string]int{},
		totals:     map[string]Total{},
	}
}

// setLoad makes a load the current one and keeps the past of one minute.
func (t *Table) setLoad(l Load) {
	l.At = time.Now()
	t.load = l
	t.history = append(t.history, l)
	const kept = time.Minute
	for l.At.Sub(t.history[0].At) > kept && len(t.history) > 1 {
		t.history = t.history[1:]
	}
}

// raise keeps the largest value of a count.
func (t *Table) raise(count string, value int64) {
	t.counts[count] = max(t.counts[count], value)
}
