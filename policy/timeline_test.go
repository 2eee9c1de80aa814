package policy

import (
	"cmp"
	"container/heap"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"
)

// timeline orders the events of a simulation in a synctest bubble. Events of the same
// instant happen one at a time, in the order of their keys: if the scheduler chose their
// order, the results would depend on it. Concurrent calls are safe.
type timeline struct {
	// changed is signalled when an event is added.
	changed chan struct{}

	mu     sync.Mutex
	events eventHeap
}

func newTimeline() *timeline { return &timeline{changed: make(chan struct{}, 1)} }

// timelineEvent is an event that will happen at an instant.
type timelineEvent struct {
	at       time.Time
	key      string
	happened chan struct{}
}

// eventHeap is a heap of events with the next one at the root.
type eventHeap []timelineEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool { return compareEvents(h[i], h[j]) < 0 }

func compareEvents(a, b timelineEvent) int {
	return cmp.Or(a.at.Compare(b.at), strings.Compare(a.key, b.key))
}

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(timelineEvent)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// after returns a channel that is closed when the event happens, after a duration. The
// key must differ from those of other events that may happen at the same instant.
func (l *timeline) after(d time.Duration, key string) <-chan struct{} {
	e := timelineEvent{at: time.Now().Add(d), key: key, happened: make(chan struct{})}
	l.mu.Lock()
	heap.Push(&l.events, e)
	l.mu.Unlock()
	select {
	case l.changed <- struct{}{}:
	default:
	}
	return e.happened
}

// sleep waits for a duration and returns false if the context ends first.
func (l *timeline) sleep(ctx context.Context, d time.Duration, key string) bool {
	select {
	case <-l.after(d, key):
		return true
	case <-ctx.Done():
		return false
	}
}

// run makes the events happen until the context ends. It may be called once per bubble,
// since synctest.Wait allows no concurrent calls.
func (l *timeline) run(ctx context.Context) {
	for {
		timer := time.NewTimer(l.untilNext())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-l.changed:
			timer.Stop()
		case <-timer.C:
			// The consequences of the previous event, and the timers that expire at the
			// same instant, go first.
			synctest.Wait()
			l.next()
		}
	}
}

// untilNext returns the duration until the next event.
func (l *timeline) untilNext() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.events) == 0 {
		return time.Hour
	}
	return time.Until(l.events[0].at)
}

// next makes the next event happen if it is due.
func (l *timeline) next() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.events) > 0 && !l.events[0].at.After(time.Now()) {
		close(heap.Pop(&l.events).(timelineEvent).happened)
	}
}

// Guards against events of the same instant in an order that the scheduler chooses, which
// made TestCompare fail under load.
func TestTimelineOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTimeline()
		ctx, stop := context.WithCancel(t.Context())
		var background, events sync.WaitGroup
		background.Go(func() { l.run(ctx) })
		var mu sync.Mutex
		var order strings.Builder
		for n := range 20 {
			// The events are added at different instants, and those added last happen
			// first at their instant.
			time.Sleep(time.Millisecond)
			at := time.Duration(1+n%3) * time.Second
			events.Go(func() {
				l.sleep(ctx, at-time.Duration(n)*time.Millisecond, fmt.Sprintf("%02d", 19-n))
				mu.Lock()
				defer mu.Unlock()
				fmt.Fprintf(&order, "%v event %02d\n", at, 19-n)
			})
		}
		events.Wait()
		stop()
		background.Wait()
		goldie.New(t, goldie.WithFixtureDir("testdata"), goldie.WithNameSuffix(".golden")).Assert(t, "timeline", []byte(order.String()))
	})
}
