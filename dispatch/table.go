package dispatch

import (
	"context"
	"sync"
	"time"

	"lycheecrank.example/backend"
	"lycheecrank.example/counter"
	"lycheecrank.example/lock"
	"lycheecrank.example/request"
)

// Table holds the steps that wait for a backend server on this instance. Set
// the exported fields before use, change it through Commands and read it
// through Queries.
type Table struct {
	// Reserve takes a slot at the best free server of a pool.
	Reserve func(pool string, rank int, avoid []string, r backend.Rights, now time.Time) (backend.Server, bool)
	// Release gives a slot back with what was seen of the step.
	Release func(server string, o backend.Observation, now time.Time)
	// Return gives a slot back of which nothing was sent.
	Return func(server string)
	// Current returns the view of a server at the moment, since one that was
	// chosen may have turned cold or begun to leave. If it is nil, the view at the
	// choice counts.
	Current func(server string) (backend.Server, bool)
	// Capacity tells what a pool can do for a rank.
	Capacity func(pool string, rank int, r backend.Rights) backend.Capacity
	// Rights tells what this instance may dispatch to a pool.
	Rights func(pool string, now time.Time) backend.Rights
	// MaxQueued is the limit of waiting steps of a pool.
	MaxQueued func(pool string) int
	// Execute calls the backend server. Sent tells whether a byte may have
	// reached it. It is called without any lock.
	Execute func(ctx context.Context, a Assignment) Execution
	// Decided gets each decision about the order of service, in that order. It is
	// called with the table locked and must not block.
	Decided func(d Decision)
	// Failures counts the reasons for which steps failed at a server.
	Failures *counter.Set

	mu      *lock.Ranked
	changed *sync.Cond
	pools   map[string]*poolQueue
	// order is the order in which pools are looked at; it is rotated, so that
	// no pool waits for another.
	order  []string
	closed bool
	// unfinished counts the steps that wait or are at a server.
	unfinished int
	idle       *sync.Cond
	// arrived wakes the sweeps when a step comes to an empty queue.
	arrived *sync.Cond
}

// Assignment is a step with a reserved slot at a server.
type Assignment struct {
	Step   request.Step
	Server backend.Server
	Sink   request.Sink

	ctx      context.Context
	enqueued time.Time
	assigned time.Time
	done     chan Outcome
}

// Execution is what came of an assignment.
type Execution struct {
	Result request.Result
	// Failure is nil for a success.
	Failure *request.Failure
	// Responded is the time to the whole answer, or to the first piece.
	Responded   time.Duration
	Incarnation string
}

// Decision is a decision about the order of service.
type Decision struct {
	Step request.Step
	// Enqueued is when the step came to this instance.
	Enqueued time.Time
	Server   string
	// Waiting is the number of steps of the same or a better class that were
	// left waiting for the pool.
	Waiting int
	// Reason is set for a refusal.
	Reason request.Reason
	At     time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{mu: lock.New(lock.RankDispatch, "dispatch"), pools: map[string]*poolQueue{}}
	t.changed = sync.NewCond(t.mu)
	t.idle = sync.NewCond(t.mu)
	t.arrived = sync.NewCond(t.mu)
	return t
}

// Commands returns what changes the table.
func (t *Table) Commands() Commands { return Commands{table: t} }

func (t *Table) decide(d Decision) {
	if t.Decided != nil {
		t.Decided(d)
	}
}

// current returns the latest view of a chosen server.
func (t *Table) current(chosen backend.Server) backend.Server {
	if t.Current == nil {
		return chosen
	}
	s, ok := t.Current(chosen.Name)
	if !ok {
		return chosen.WithTakenOut()
	}
	return s
}

// hasWaiting reports whether a step is in the queue. The caller holds the lock.
func (t *Table) hasWaiting() bool {
	for _, q := range t.pools {
		if q.count > 0 {
			return true
		}
	}
	return false
}

// leave notes that a step is finished. The caller holds the lock.
func (t *Table) leave() {
	t.unfinished--
	if t.unfinished == 0 {
		t.idle.Broadcast()
	}
}

// Queries returns what reads the table.
func (t *Table) Queries() Queries { return Queries{table: t} }
