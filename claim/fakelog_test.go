package claim_test

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync"
	"time"

	"lycheecrank.example/claim"
)

var errNoResponse = errors.New("no response from the log")

// fakeLog is an in-memory append-only log with limited retention.
type fakeLog struct {
	retention time.Duration

	mu      sync.Mutex
	streams [claim.StreamCount][]logEntry
	// expired counts the records of each stream that are past retention.
	expired [claim.StreamCount]int
	// changed is closed and replaced at each append.
	changed chan struct{}
}

type logEntry struct {
	record claim.Record
	at     time.Time
}

func (l *fakeLog) add(records []claim.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range records {
		n := claim.StreamOf(r.Key)
		l.streams[n] = append(l.streams[n], logEntry{r, time.Now()})
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// read returns the retained records of a stream from an offset on, the offset
// and append time of the first one, and a channel that the next append closes.
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

// node simulates an instance with its own view of the log.
type node struct {
	log     *fakeLog
	table   *claim.Table
	claimer *claim.Claimer
	// ignoreGaps makes the node treat its view as complete after a gap.
	ignoreGaps bool

	ctx  context.Context
	stop context.CancelFunc
	done sync.WaitGroup
	mu   sync.Mutex
	// faultEnds holds the end time of each kind of fault.
	faultEnds map[string]time.Time
}

func newNode(l *fakeLog, name string, timeout time.Duration) *node {
	n := &node{log: l, table: claim.NewTable(), faultEnds: map[string]time.Time{}}
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.claimer = claim.NewClaimer(n.table, n.append)
	n.claimer.Read = n.read
	n.claimer.Instance, n.claimer.Workers, n.claimer.ClaimTimeout = name, 2, timeout
	return n
}

func (n *node) start() {
	n.done.Go(func() { _ = n.claimer.Run(n.ctx) })
	n.done.Go(n.tail)
}

// faultRemaining returns the remaining duration of a kind of fault. It is not
// positive if there is no such fault.
func (n *node) faultRemaining(kind string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Until(n.faultEnds[kind])
}

// waitWhileFrozen blocks while the node is frozen and reports whether the node is
// still running.
func (n *node) waitWhileFrozen() bool {
	for n.faultRemaining("frozen") > 0 {
		time.Sleep(n.faultRemaining("frozen"))
	}
	return n.ctx.Err() == nil
}

func (n *node) append(_ context.Context, _ string, records []claim.Record) error {
	switch {
	case !n.waitWhileFrozen():
		return errNoResponse
	case n.faultRemaining("rejected appends") > 0:
		return claim.ErrNotAppended
	case n.faultRemaining("disconnected") > 0:
		time.Sleep(200 * time.Millisecond)
		return errNoResponse
	case n.faultRemaining("delayed appends") > 0:
		time.AfterFunc(3*time.Second, func() { n.log.add(records) })
		return errNoResponse
	}
	time.Sleep(time.Millisecond)
	n.waitWhileFrozen()
	n.log.add(records)
	if n.faultRemaining("duplicate appends") > 0 {
		n.log.add(records)
	}
	time.Sleep(time.Millisecond)
	if n.faultRemaining("lost responses") > 0 {
		return errNoResponse
	}
	return nil
}

func (n *node) read(_ context.Context, stream string) error {
	time.Sleep(time.Millisecond)
	if !n.waitWhileFrozen() || n.faultRemaining("disconnected") > 0 {
		return errNoResponse
	}
	from := n.table.Queries().AppliedThrough(stream) + 1
	number, err := strconv.Atoi(strings.TrimPrefix(stream, "claims."))
	if err != nil {
		return err
	}
	first, records, _, _ := n.log.read(number, from)
	n.waitWhileFrozen()
	return n.table.Commands().ApplyRecords(stream, first, records)
}

func (n *node) tail() {
	commands := n.table.Commands()
	var next [claim.StreamCount]uint64
	for n.waitWhileFrozen() {
		time.Sleep(n.faultRemaining("disconnected"))
		if n.faultRemaining("slow tail") > 0 {
			time.Sleep(1500 * time.Millisecond)
		}
		_, _, _, changed := n.log.read(0, 1)
		for i := range next {
			first, records, since, _ := n.log.read(i, max(next[i], 1))
			if n.ignoreGaps {
				since = time.Time{}
			}
			if first != next[i] {
				_ = commands.SetNextOffset(claim.StreamName(i), first, since)
			}
			if err := commands.ApplyRecords(claim.StreamName(i), first, records); err != nil {
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
