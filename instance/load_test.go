package instance

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// load sends requests until it is stopped, at the latest at the end of its test, and counts
// the verdicts. It has no time limit of its own, because tests wait for conditions that
// only requests can bring about, such as a warm server.
type load struct {
	stop func()

	mu       sync.Mutex
	verdicts map[string]int
	// lastSent is the latest send time of an answered request.
	lastSent time.Time
}

// startLoad starts a load on a target. Each instance gets atOnce requests at a time.
func (s *site) startLoad(target string, atOnce int, nodes ...*node) *load {
	ctx, cancel := context.WithCancel(s.ctx)
	l := &load{verdicts: map[string]int{}}
	var senders sync.WaitGroup
	for _, n := range nodes {
		for range atOnce {
			senders.Go(func() {
				for ctx.Err() == nil {
					sent := time.Now()
					l.record(sent, verdictOf(n.ask(target, "")))
				}
			})
		}
	}
	l.stop = func() {
		cancel()
		senders.Wait()
	}
	s.t.Cleanup(l.stop)
	return l
}

func (l *load) record(sent time.Time, verdict string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.verdicts[verdict]++
	if sent.After(l.lastSent) {
		l.lastSent = sent
	}
}

func (l *load) hasSentAfter(at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastSent.After(at)
}

// String lists the verdicts with their counts.
func (l *load) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var parts []string
	for _, v := range slices.Sorted(maps.Keys(l.verdicts)) {
		parts = append(parts, fmt.Sprintf("%s: %d", v, l.verdicts[v]))
	}
	return strings.Join(parts, ", ")
}

// isAllRan reports whether at least one request was answered and all of them ran.
func (l *load) isAllRan() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.verdicts) == 1 && l.verdicts["ran"] > 0
}

// workStartSampler records when each backend server last started a request.
type workStartSampler struct {
	stop func()

	mu    sync.Mutex
	last  map[string]time.Time
	count map[string]int64
}

// sampleStarts samples the backend servers until stop.
func (s *site) sampleStarts() *workStartSampler {
	ctx, cancel := context.WithCancel(s.ctx)
	w := &workStartSampler{last: map[string]time.Time{}, count: map[string]int64{}}
	var sampling sync.WaitGroup
	servers := maps.Clone(s.servers)
	sampling.Go(func() {
		_ = runEvery(ctx, 10*time.Millisecond, func(context.Context) {
			for name, x := range servers {
				w.record(name, x.Counts()["started"])
			}
		})
	})
	w.stop = func() {
		cancel()
		sampling.Wait()
	}
	s.t.Cleanup(w.stop)
	return w
}

func (w *workStartSampler) record(name string, started int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if started > w.count[name] {
		w.count[name], w.last[name] = started, time.Now()
	}
}

// lastStartIn returns when a server whose name has the suffix last started a request.
func (w *workStartSampler) lastStartIn(suffix string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	var last time.Time
	for name, at := range w.last {
		if strings.HasSuffix(name, suffix) && at.After(last) {
			last = at
		}
	}
	return last
}
