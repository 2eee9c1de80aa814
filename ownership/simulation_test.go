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
	testPool       = "rerankers"
	testDataCentre = "espoo"
	// longestCall is the longest deadline of a call, 6 s, on a clock that is slow
	// by 5%.
	longestCall = 6316 * time.Millisecond
	// sampleInterval is the time between two checks of the permissions of all
	// nodes.
	sampleInterval = 50 * time.Millisecond
)

var errNoAnswer = errors.New("no answer")

// link is the connection between a node and the log.
type link struct {
	// noAppends drops the records that the node appends.
	noAppends bool
	// noAnswers drops the answers of the log to appends.
	noAnswers bool
	// noTail drops the records that the log sends to the node.
	noTail bool
	// appendDelay is the time until an appended record is in the log.
	appendDelay time.Duration
	// answerDelay is the time from then until the answer arrives.
	answerDelay time.Duration
	// tailDelay is the time until the node receives a record of the log.
	tailDelay time.Duration
}

// variant is a protocol under test: the real one or a broken one.
type variant struct {
	timing         Timing
	acceptsAcquire func(Term, Record) bool
	// leaseStartsAtAnswer counts leases from the answer to the append instead of
	// its start.
	leaseStartsAtAnswer bool
}

// simulation runs nodes with clocks of different rates against one log, in the
// fake time of a synctest bubble, and checks their permissions.
type simulation struct {
	running sync.WaitGroup
	variant variant
	start   time.Time

	mu      sync.Mutex
	changed *sync.Cond
	log     []logEntry
	oracle  State
	// needsNoWait holds the terms whose owner needn't wait for the calls of former
	// owners: those whose predecessor was released with no calls running, and those
	// without a predecessor.
	needsNoWait        map[uint64]bool
	nodes              map[string]*node
	formerNodes        []*node
	violations         []string
	lastColdPermission time.Time
}

// logEntry is a record of the log with the time of its append.
type logEntry struct {
	record Record
	at     time.Time
}

// node is one incarnation of an instance. Its fields are guarded by
// simulation.mu.
type node struct {
	simulation *simulation
	self       Identity
	table      *Table
	manager    *Manager
	clockRate  float64
	link       link
	paused     bool
	dead       bool
	leaving    bool
	// applied is the number of records that the node has applied or skipped.
	applied uint64
	// hidden holds the names of the nodes that this node doesn't know.
	hidden             map[string]bool
	stop               context.CancelFunc
	lastColdPermission time.Time
	mayUseCold         bool
}

func newSimulation(v variant) *simulation {
	l := &simulation{variant: v, start: time.Now(), oracle: NewState(0), needsNoWait: map[uint64]bool{}, nodes: map[string]*node{}}
	l.oracle.acceptsAcquire = v.acceptsAcquire
	l.changed = sync.NewCond(&l.mu)
	return l
}

// startNode starts an incarnation of an instance that reads the stream after
// base.
func (l *simulation) startNode(name string, incarnation int, base uint64, rate float64, k link, hidden map[string]bool) *node {
	n := &node{simulation: l, self: Identity{name, fmt.Sprint(incarnation), testDataCentre}, clockRate: rate, link: k, hidden: hidden, applied: base}
	s := NewState(base)
	s.acceptsAcquire = l.variant.acceptsAcquire
	n.table = NewTable(n.self, l.variant.timing, s, n.clock())
	n.manager = &Manager{Table: n.table, Append: n.append, Pools: func() []string { return []string{testPool} }, Candidates: n.candidates, Now: n.now}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	l.mu.Lock()
	if f, ok := l.nodes[name]; ok {
		l.formerNodes = append(l.formerNodes, f)
	}
	l.nodes[name] = n
	l.mu.Unlock()
	l.running.Go(func() { n.manager.Run(ctx) })
	l.running.Go(n.tail)
	return n
}

// update changes a node and wakes the goroutines that wait for a change.
func (l *simulation) update(n *node, change func(*node)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(n)
	l.changed.Broadcast()
}

// close ends all goroutines of the simulation. The clock of a bubble stops when
// its first goroutine returns, so close waits for pending appends.
func (l *simulation) close() {
	l.mu.Lock()
	for _, n := range l.nodes {
		n.dead = true
		n.stop()
	}
	l.changed.Broadcast()
	l.mu.Unlock()
	time.Sleep(time.Minute)
}

// offsetBefore returns the offset before the first record younger than age.
func (l *simulation) offsetBefore(age time.Duration) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	for n, r := range l.log {
		if time.Since(r.at) < age {
			return uint64(n)
		}
	}
	return uint64(len(l.log))
}

func (l *simulation) appendRecord(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.oracle.Term(Key{testPool, testDataCentre})
	l.log = append(l.log, logEntry{r, time.Now()})
	offset := uint64(len(l.log))
	l.oracle, _ = l.oracle.Apply(offset, r)
	if after := l.oracle.Term(Key{testPool, testDataCentre}); after.ID != before.ID {
		l.needsNoWait[after.ID] = before.ID == 0 || before.Released && before.Drained
	}
	l.changed.Broadcast()
}

// clock reads the node's own clock, even while the node is paused.
func (n *node) clock() time.Time {
	return n.simulation.start.Add(time.Duration(float64(time.Since(n.simulation.start)) * n.clockRate))
}

// waitWhilePaused waits while the node is paused. It reports false for a dead
// node.
func (n *node) waitWhilePaused() bool {
	n.simulation.mu.Lock()
	defer n.simulation.mu.Unlock()
	for n.paused && !n.dead {
		n.simulation.changed.Wait()
	}
	return !n.dead
}

func (n *node) now() time.Time {
	n.waitWhilePaused()
	return n.clock()
}

func (n *node) currentLink() link {
	n.simulation.mu.Lock()
	defer n.simulation.mu.Unlock()
	return n.link
}

func (n *node) append(ctx context.Context, records ...Record) error {
	if !n.waitWhilePaused() {
		return errNoAnswer
	}
	k := n.currentLink()
	if k.noAppends {
		<-ctx.Done()
		return errNoAnswer
	}
	arrived := make(chan struct{})
	n.simulation.running.Go(func() {
		time.Sleep(k.appendDelay)
		for _, r := range records {
			n.simulation.appendRecord(r)
		}
		close(arrived)
		time.Sleep(k.answerDelay)
	})
	answer := time.NewTimer(k.appendDelay + k.answerDelay)
	defer answer.Stop()
	select {
	case <-ctx.Done():
		return errNoAnswer
	case <-answer.C:
	}
	if k.noAnswers {
		<-ctx.Done()
		return errNoAnswer
	}
	n.waitWhilePaused()
	if n.simulation.variant.leaseStartsAtAnswer {
		n.table.mu.Lock()
		for _, r := range records {
			n.table.appendStarts[r.Sequence] = n.clock()
		}
		n.table.mu.Unlock()
	}
	return nil
}

// tail receives the records of the log and applies them.
func (n *node) tail() {
	l := n.simulation
	for {
		l.mu.Lock()
		for !n.dead && (n.paused || n.link.noTail || uint64(len(l.log)) <= n.applied) {
			l.changed.Wait()
		}
		if n.dead {
			l.mu.Unlock()
			return
		}
		next, delay := n.applied, n.link.tailDelay
		r := l.log[next]
		l.mu.Unlock()
		time.Sleep(time.Until(r.at.Add(delay)))
		receivedAt := n.now()
		l.mu.Lock()
		if n.applied == next {
			n.applied++
			n.apply(next+1, r.record, receivedAt)
		}
		l.mu.Unlock()
	}
}

// apply applies a record twice, because the log may deliver a record again.
func (n *node) apply(offset uint64, r Record, receivedAt time.Time) {
	for range 2 {
		if err := n.table.Commands().Apply(offset, r, receivedAt); err != nil {
			n.simulation.violations = append(n.simulation.violations, err.Error())
		}
	}
}

// skipToEnd makes the node skip all records of the log, as if those that it must read
// next had expired. The caller holds
// simulation.mu.
func (n *node) skipToEnd() {
	n.applied = uint64(len(n.simulation.log))
	s := NewState(n.applied)
	s.acceptsAcquire = n.simulation.variant.acceptsAcquire
	n.table.Commands().Reset(s, n.clock())
}

func (n *node) candidates() []member.Instance {
	l := n.simulation
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []member.Instance
	for name, o := range l.nodes {
		if n.hidden[name] {
			continue
		}
		list = append(list, member.Instance{Name: name, Incarnation: o.self.Incarnation, DataCentre: testDataCentre, IsLeaving: o.leaving, IsReachable: o == n || !o.dead && !o.paused})
	}
	return list
}

func (l *simulation) recordViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf("%s: ", time.Since(l.start))+fmt.Sprintf(format, args...))
}

// runUntil checks the permissions of all nodes repeatedly until a time after the
// start.
func (l *simulation) runUntil(after time.Duration) {
	for time.Since(l.start) < after {
		time.Sleep(min(sampleInterval, after-time.Since(l.start)))
		l.check()
	}
}

// check asserts that no two nodes have the permission for cold servers at the
// same time, that only the owner according to the log has it, and that all calls
// of other nodes have ended.
func (l *simulation) check() {
	l.mu.Lock()
	owner := l.oracle.Term(Key{testPool, testDataCentre})
	nodes := append([]*node{}, l.formerNodes...)
	for _, n := range l.nodes {
		nodes = append(nodes, n)
	}
	needsNoWait := l.needsNoWait[owner.ID]
	now := time.Now()
	for _, n := range nodes {
		n.mayUseCold = !n.dead && n.table.Queries().Permission(testPool, n.clock()).Cold
		if n.mayUseCold {
			n.lastColdPermission, l.lastColdPermission = now, now
		}
	}
	l.mu.Unlock()
	for _, n := range nodes {
		if !n.mayUseCold {
			continue
		}
		if !owner.IsOwnedBy(n.self.Instance, n.self.Incarnation) {
			l.recordViolation("%s/%s dispatches to cold servers, but the log names %s/%s", n.self.Instance, n.self.Incarnation, owner.Instance, owner.Incarnation)
		}
		for _, o := range nodes {
			if o == n {
				continue
			}
			if o.mayUseCold {
				l.recordViolation("%s/%s and %s/%s both dispatch to cold servers", n.self.Instance, n.self.Incarnation, o.self.Instance, o.self.Incarnation)
			} else if !o.lastColdPermission.IsZero() && !needsNoWait && now.Sub(o.lastColdPermission) < longestCall {
				l.recordViolation("%s/%s dispatches to cold servers %s after %s/%s did", n.self.Instance, n.self.Incarnation, now.Sub(o.lastColdPermission), o.self.Instance, o.self.Incarnation)
			}
		}
	}
}
