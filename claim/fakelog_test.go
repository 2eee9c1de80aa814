package claim_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"lycheecrank.example/claim"
)

var errNoAnswer = errors.New("no answer from the log")

// fakeLog is an append-only log in memory with limited retention.
type fakeLog struct {
	retention time.Duration

	mu      sync.Mutex
	streams [claim.Streams][]entry
	expired [claim.Streams]int
	// changed is closed and replaced by each append.
	changed chan struct{}
}

type entry struct {
	record claim.Record
	at     time.Time
}

func (l *fakeLog) add(records []claim.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range records {
		n := claim.StreamOf(r.Key)
		l.streams[n] = append(l.streams[n], entry{r, time.Now()})
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// read returns the retained records of a stream from an offset on, the offset
// of the first one, the time of its append, and what an append will close.
func (l *fakeLog) read(n int, from uint64) (first uint64, records []claim.Record, since time.Time, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.streams[n]
	for l.expired[n] < len(all) && time.Since(all[l.expired[n]].at) > l.retention {
		l.expired[n]++
	}
	first, since = max(from, uint64(l.expired[n])+1), time.Now()
	for i, e := range all[first-1:] {
		if i == 0 {
			since = e.at
		}
		records = append(records, e.record)
	}
	return first, records, since, l.changed
}

// node is an instance with its own view of the log.
type node struct {
	log     *fakeLog
	table   *claim.Table
	claimer *claim.Claimer
	// ignoreGaps makes the node take its view as complete after a gap.
	ignoreGaps bool

	ctx  context.Context
	stop context.CancelFunc
	done sync.WaitGroup
	mu   sync.Mutex
	// until holds the end of each kind of fault.
	until map[string]time.Time
}

func newNode(l *fakeLog, name string, patience time.Duration) *node {
	n := &node{log: l, table: claim.NewTable(), until: map[string]time.Time{}}
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.claimer = claim.NewClaimer(n.table, n.append)
	n.claimer.Instance, n.claimer.Workers, n.claimer.Patience = name, 2, patience
	return n
}

func (n *node) start() {
	n.done.Go(func() { _ = n.claimer.Run(n.ctx) })
	n.done.Go(n.tail)
}

// left returns how long a fault of a kind still lasts, 0 or less for none.
func (n *node) left(kind string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Until(n.until[kind])
}

// runs waits while the process is frozen and reports whether it is alive.
func (n *node) runs() bool {
	for n.left("frozen") > 0 {
		time.Sleep(n.left("frozen"))
	}
	return n.ctx.Err() == nil
}

func (n *node) append(_ context.Context, _ string, records []claim.Record) error {
	switch {
	case !n.runs():
		return errNoAnswer
	case n.left("refused appends") > 0:
		return claim.ErrNotAppended
	case n.left("cut") > 0:
		time.Sleep(200 * time.Millisecond)
		return errNoAnswer
	case n.left("late appends") > 0:
		time.AfterFunc(3*time.Second, func() { n.log.add(records) })
		return errNoAnswer
	}
	time.Sleep(time.Millisecond)
	n.runs()
	n.log.add(records)
	if n.left("doubled appends") > 0 {
		n.log.add(records)
	}
	time.Sleep(time.Millisecond)
	if n.left("lost answers") > 0 {
		return errNoAnswer
	}
	return nil
}

func (n *node) tail() {
	commands := n.table.Commands()
	var next [claim.Streams]uint64
	for n.runs() {
		time.Sleep(n.left("cut"))
		if n.left("slow tail") > 0 {
			time.Sleep(1500 * time.Millisecond)
		}
		_, _, _, changed := n.log.read(0, 1)
		for i := range next {
			first, records, since, _ := n.log.read(i, max(next[i], 1))
			if n.ignoreGaps {
				since = time.Time{}
			}
			if first != next[i] {
				_ = commands.Begin(claim.StreamName(i), first, since)
			}
			if err := commands.Apply(claim.StreamName(i), first, records); err != nil {
				panic(err)
			}
			next[i] = first + uint64(len(records))
		}
		select {
		case <-changed:
		case <-n.ctx.Done():
		}
	}
}
