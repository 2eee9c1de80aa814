package ownership

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"lycheecrank.example/member"
)

const (
	labPool   = "rerankers"
	labCentre = "espoo"
	// longestCall is the longest deadline of a call, 6 s, by a clock that is slow
	// by 5%.
	longestCall = 6316 * time.Millisecond
	// sampling is the time between two looks at the rights of all nodes.
	sampling = 50 * time.Millisecond
)

var errLost = errors.New("no answer")

// link is the connection between a node and the log.
type link struct {
	// noAppends: records don't reach the log; noAnswers: its answers don't come
	// back; noTail: its records don't.
	noAppends, noAnswers, noTail bool
	// appendDelay passes before a record lands, answerDelay before the answer
	// comes, tailDelay before a record is received.
	appendDelay, answerDelay, tailDelay time.Duration
}

// variant is a protocol under test: the real one or a broken one.
type variant struct {
	timing  Timing
	accepts func(Term, Record) bool
	// leaseFromAnswer counts leases from the answer of the append.
	leaseFromAnswer bool
}

// lab runs nodes with clocks of their own against one log, on the clock of a
// synctest bubble, and checks their rights.
type lab struct {
	running sync.WaitGroup
	variant variant
	start   time.Time

	mu     sync.Mutex
	change *sync.Cond
	log    []landed
	oracle State
	// afterRelease holds the terms that followed a settled release.
	afterRelease map[uint64]bool
	nodes        map[string]*node
	former       []*node
	violations   []string
	lastCold     time.Time
}

// landed is a record of the log with the moment of its append.
type landed struct {
	record Record
	at     time.Time
}

// node is one incarnation of an instance. Its fields are guarded by lab.mu.
type node struct {
	lab    *lab
	self   Self
	table  *Table
	keeper *Keeper
	rate   float64
	link   link
	paused bool
	dead   bool
	left   bool
	// next is the number of records that the node has passed.
	next uint64
	// blind holds the names that this node doesn't know.
	blind map[string]bool
	stop  context.CancelFunc
	cold  time.Time
	colds bool
}

func newLab(v variant) *lab {
	l := &lab{variant: v, start: time.Now(), oracle: NewState(0), afterRelease: map[uint64]bool{}, nodes: map[string]*node{}}
	l.oracle.accepts = v.accepts
	l.change = sync.NewCond(&l.mu)
	return l
}

// add starts an incarnation of an instance that reads the stream after base.
func (l *lab) add(name string, incarnation int, base uint64, rate float64, k link, blind map[string]bool) *node {
	n := &node{lab: l, self: Self{name, fmt.Sprint(incarnation), labCentre}, rate: rate, link: k, blind: blind, next: base}
	s := NewState(base)
	s.accepts = l.variant.accepts
	n.table = NewTable(n.self, l.variant.timing, s, n.clock())
	n.keeper = &Keeper{Table: n.table, Append: n.append, Pools: func() []string { return []string{labPool} }, Candidates: n.candidates, Now: n.now}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	l.mu.Lock()
	if f, ok := l.nodes[name]; ok {
		l.former = append(l.former, f)
	}
	l.nodes[name] = n
	l.mu.Unlock()
	l.running.Go(func() { n.keeper.Run(ctx) })
	l.running.Go(n.tail)
	return n
}

// set changes a node and wakes what waits for it.
func (l *lab) set(n *node, change func(*node)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(n)
	l.change.Broadcast()
}

// close ends all goroutines of the lab. The clock of a bubble stands still once
// its first goroutine has returned, so close waits for appends under way.
func (l *lab) close() {
	l.mu.Lock()
	for _, n := range l.nodes {
		n.dead = true
		n.stop()
	}
	l.change.Broadcast()
	l.mu.Unlock()
	time.Sleep(time.Minute)
}

// retained returns the offset before the first record younger than age.
func (l *lab) retained(age time.Duration) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	for n, r := range l.log {
		if time.Since(r.at) < age {
			return uint64(n)
		}
	}
	return uint64(len(l.log))
}

// land appends a record.
func (l *lab) land(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.oracle.Term(Key{labPool, labCentre})
	l.log = append(l.log, landed{r, time.Now()})
	offset := uint64(len(l.log))
	l.oracle, _ = l.oracle.Apply(offset, r)
	if after := l.oracle.Term(Key{labPool, labCentre}); after.ID != before.ID {
		l.afterRelease[after.ID] = before.ID == 0 || before.Released && before.Settled
	}
	l.change.Broadcast()
}

// clock reads the node's own clock without waiting.
func (n *node) clock() time.Time {
	return n.lab.start.Add(time.Duration(float64(time.Since(n.lab.start)) * n.rate))
}

// gate waits while the node is paused. It reports false for a dead node.
func (n *node) gate() bool {
	n.lab.mu.Lock()
	defer n.lab.mu.Unlock()
	for n.paused && !n.dead {
		n.lab.change.Wait()
	}
	return !n.dead
}

func (n *node) now() time.Time {
	n.gate()
	return n.clock()
}

func (n *node) currentLink() link {
	n.lab.mu.Lock()
	defer n.lab.mu.Unlock()
	return n.link
}

func (n *node) append(ctx context.Context, records ...Record) error {
	if !n.gate() {
		return errLost
	}
	k := n.currentLink()
	if k.noAppends {
		<-ctx.Done()
		return errLost
	}
	arrived := make(chan struct{})
	n.lab.running.Go(func() {
		time.Sleep(k.appendDelay)
		for _, r := range records {
			n.lab.land(r)
		}
		close(arrived)
		time.Sleep(k.answerDelay)
	})
	answer := time.NewTimer(k.appendDelay + k.answerDelay)
	defer answer.Stop()
	select {
	case <-ctx.Done():
		return errLost
	case <-answer.C:
	}
	if k.noAnswers {
		<-ctx.Done()
		return errLost
	}
	n.gate()
	if n.lab.variant.leaseFromAnswer {
		n.table.mu.Lock()
		for _, r := range records {
			n.table.started[r.Sequence] = n.clock()
		}
		n.table.mu.Unlock()
	}
	return nil
}

// tail applies the records of the log, each of them twice.
func (n *node) tail() {
	l := n.lab
	for {
		l.mu.Lock()
		for !n.dead && (n.paused || n.link.noTail || uint64(len(l.log)) <= n.next) {
			l.change.Wait()
		}
		if n.dead {
			l.mu.Unlock()
			return
		}
		next, delay := n.next, n.link.tailDelay
		r := l.log[next]
		l.mu.Unlock()
		time.Sleep(time.Until(r.at.Add(delay)))
		receivedAt := n.now()
		l.mu.Lock()
		if n.next == next {
			n.next++
			n.apply(next+1, r.record, receivedAt)
		}
		l.mu.Unlock()
	}
}

// apply applies a record twice.
func (n *node) apply(offset uint64, r Record, receivedAt time.Time) {
	for range 2 {
		if err := n.table.Commands().Apply(offset, r, receivedAt); err != nil {
			n.lab.violations = append(n.lab.violations, err.Error())
		}
	}
}

// restart makes the node pass over all records of the log. The caller holds
// lab.mu.
func (n *node) restart() {
	n.next = uint64(len(n.lab.log))
	s := NewState(n.next)
	s.accepts = n.lab.variant.accepts
	n.table.Commands().Restart(s, n.clock())
}

func (n *node) candidates() []member.Instance {
	l := n.lab
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []member.Instance
	for name, o := range l.nodes {
		if n.blind[name] {
			continue
		}
		list = append(list, member.Instance{Name: name, Incarnation: o.self.Incarnation, DataCentre: labCentre, Leaving: o.left, Reachable: o == n || !o.dead && !o.paused})
	}
	return list
}

func (l *lab) violate(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf("%s: ", time.Since(l.start))+fmt.Sprintf(format, args...))
}

// runUntil samples the rights of all nodes until a moment after the start.
func (l *lab) runUntil(after time.Duration) {
	for time.Since(l.start) < after {
		time.Sleep(min(sampling, after-time.Since(l.start)))
		l.check()
	}
}

// check asserts that no two nodes hold the right to cold servers, that only the
// owner by the log holds it, and that all calls of other nodes have ended.
func (l *lab) check() {
	l.mu.Lock()
	owner := l.oracle.Term(Key{labPool, labCentre})
	nodes := append([]*node{}, l.former...)
	for _, n := range l.nodes {
		nodes = append(nodes, n)
	}
	afterRelease := l.afterRelease[owner.ID]
	now := time.Now()
	for _, n := range nodes {
		n.colds = !n.dead && n.table.Queries().Rights(labPool, n.clock()).Cold
		if n.colds {
			n.cold, l.lastCold = now, now
		}
	}
	l.mu.Unlock()
	for _, n := range nodes {
		if !n.colds {
			continue
		}
		if !owner.IsOwnedBy(n.self.Instance, n.self.Incarnation) {
			l.violate("%s/%s dispatches to cold servers, but the log names %s/%s", n.self.Instance, n.self.Incarnation, owner.Instance, owner.Incarnation)
		}
		for _, o := range nodes {
			if o == n {
				continue
			}
			if o.colds {
				l.violate("%s/%s and %s/%s both dispatch to cold servers", n.self.Instance, n.self.Incarnation, o.self.Instance, o.self.Incarnation)
			} else if !o.cold.IsZero() && !afterRelease && now.Sub(o.cold) < longestCall {
				l.violate("%s/%s dispatches to cold servers %s after %s/%s did", n.self.Instance, n.self.Incarnation, now.Sub(o.cold), o.self.Instance, o.self.Incarnation)
			}
		}
	}
}
