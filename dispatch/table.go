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

// Table holds the steps on this instance that wait for or run on a backend
// server. Set the exported fields before use, change it through Commands and
// read it through Queries.
type Table struct {
	// Reserve reserves a slot on the best available server of a pool.
	Reserve func(pool string, rank int, avoid []string, p backend.Permission, now time.Time) (backend.Server, bool)
	// Release frees a slot after its step has ended and records the observation.
	Release func(server string, o backend.Observation, now time.Time)
	// CancelReservation frees a slot whose step was not sent to the server.
	CancelReservation func(server string)
	// CurrentServer returns the latest view of a server, which may have turned cold or
	// begun to leave after it was selected. If it is nil, the view at selection
	// is used.
	CurrentServer func(server string) (backend.Server, bool)
	// Capacity returns the capacity of a pool for steps of a rank.
	Capacity func(pool string, rank int, p backend.Permission) backend.Capacity
	// Permission returns the permission of this instance to dispatch to a pool.
	Permission func(pool string, now time.Time) backend.Permission
	// MaxQueued returns the maximum number of queued steps of a pool.
	MaxQueued func(pool string) int
	// Execute calls the backend server. Failure.Sent of its result must be set if
	// any byte may have reached the server. It is called without any lock.
	Execute func(ctx context.Context, a Assignment) Execution
	// OnDecision is called with each dispatch and refusal, in the order in which they
	// are decided. The table is locked during the call, which must not block.
	OnDecision func(d Decision)
	// Failures counts the steps that failed on a server, by reason.
	Failures *counter.Set

	mu           *lock.Ranked
	dispatchable *sync.Cond
	pools        map[string]*poolQueue
	// poolOrder is the order in which pools are searched for a dispatchable step. It
	// is rotated after each dispatch, so that no pool starves another.
	poolOrder []string
	closed    bool
	// unfinished counts the steps that are waiting or assigned to a server.
	unfinished int
	idle       *sync.Cond
	// stepQueued is signalled when a step is queued, and resumes the sweeps.
	stepQueued *sync.Cond
}

// Assignment is a step with a reserved slot on a server.
type Assignment struct {
	Step   request.Step
	Server backend.Server
	Sink   request.Sink

	ctx      context.Context
	enqueued time.Time
	assigned time.Time
	done     chan Outcome
}

// Execution is the result of one call of Table.Execute.
type Execution struct {
	Result request.Result
	// Failure is nil for a success.
	Failure *request.Failure
	// ResponseTime is the time until the whole response arrived, or the first piece
	// of a stream.
	ResponseTime time.Duration
	Incarnation  string
}

// Decision records that a step was dispatched or refused.
type Decision struct {
	Step request.Step
	// EnqueuedAt is when the step arrived at this instance.
	EnqueuedAt time.Time
	Server     string
	// Waiting is the number of steps of the same or a better class that still
	// waited for the pool after this decision.
	Waiting int
	// Reason is set for a refusal.
	Reason    request.Reason
	DecidedAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{mu: lock.New(lock.RankDispatch, "dispatch"), pools: map[string]*poolQueue{}}
	t.dispatchable = sync.NewCond(t.mu)
	t.idle = sync.NewCond(t.mu)
	t.stepQueued = sync.NewCond(t.mu)
	return t
}

// Commands returns the commands of the table.
func (t *Table) Commands() Commands { return Commands{table: t} }

func (t *Table) reportDecision(d Decision) {
	if t.OnDecision != nil {
		t.OnDecision(d)
	}
}

// currentServer returns the latest view of a selected server. A server that no
// longer exists is returned as taken out.
func (t *Table) currentServer(chosen backend.Server) backend.Server {
	if t.CurrentServer == nil {
		return chosen
	}
	s, ok := t.CurrentServer(chosen.Name)
	if !ok {
		return chosen.WithTakenOut()
	}
	return s
}

// hasWaiting reports whether any step is queued. The caller holds the lock.
func (t *Table) hasWaiting() bool {
	for _, q := range t.pools {
		if q.count > 0 {
			return true
		}
	}
	return false
}

// markFinished counts a step as finished. The caller holds the lock.
func (t *Table) markFinished() {
	t.unfinished--
	if t.unfinished == 0 {
		t.idle.Broadcast()
	}
}

// Queries returns the queries of the table.
func (t *Table) Queries() Queries { return Queries{table: t} }
