package preparation

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheecrank.example/admission"
	"lycheecrank.example/batch"
	"lycheecrank.example/counter"
	"lycheecrank.example/engine"
	"lycheecrank.example/event"
	"lycheecrank.example/pipeline"
	"lycheecrank.example/request"
	"lycheecrank.example/rollout"
	"lycheecrank.example/worker"
)

// Sentinel errors of stage calls.
var (
	// ErrFull means that the server had no free slot and did not execute the call.
	ErrFull = errors.New("stage server full")
	// ErrNotReached means that no byte of the call reached a server.
	ErrNotReached = errors.New("stage server not reached")
	// ErrWrongServer means that a server other than the expected one answered at the
	// address.
	ErrWrongServer = errors.New("unexpected stage server at the address")
	// ErrBadAnswer means that the server failed the call or answered invalidly.
	ErrBadAnswer = errors.New("bad answer of a stage server")
	// ErrRepeatedAnswer means that the answer to a call contains results of an earlier
	// call.
	ErrRepeatedAnswer = errors.New("stage server repeated results of an earlier call")
)

// PieceStatus is the status of a piece after a call.
type PieceStatus int

// Statuses of a piece.
const (
	// Completed: the result was computed and has a handle.
	Completed PieceStatus = iota
	// DeadlineExceeded: the deadline passed before the piece was computed.
	DeadlineExceeded
	// InputMissing: inputs of the piece are missing and must be recomputed.
	InputMissing
	// OutOfMemory: the server had no memory for the result.
	OutOfMemory
	// Failed: the piece failed for another reason.
	Failed
)

// Result is a server's result for one piece of a call.
type Result struct {
	Status PieceStatus
	Handle string
}

const (
	// callWorkers bounds the goroutines for stage calls. It is above the slots of all
	// stage servers of a large site, so that only these limit the calls in progress.
	callWorkers = 2048
	// engineRetryInterval is the pause between two attempts to reserve an engine.
	engineRetryInterval = 25 * time.Millisecond
	// largeResultBytes is the smallest size of a large result. Stages with large results
	// are computed in the data centre of the engine that is expected to run the request.
	// If the engine fetches these results, the stage also waits until each other chain of
	// stages has only its last stage left.
	largeResultBytes = 256 << 10
	// recomputeRatio is the number of recomputed pieces that each requested piece adds
	// to the recompute budget, recomputeBurst the starting balance and the maximum of the
	// budget. They cover the loss of a few stage servers with their results, but not a
	// fault of all servers, which would double the work.
	recomputeRatio = 0.5
	recomputeBurst = 400
	// inputFetchTime is the time after which a server is assumed to have fetched the
	// inputs of a call. The transfer over links of 10 Gbit/s takes about 10 ms, and the
	// call 200 ms or more.
	inputFetchTime = 100 * time.Millisecond
	// A pool is under memory pressure if at least memoryPressureShare of its result
	// memory is in use and its queueing delay is at least memoryPressureDelay. Its
	// results are released as soon as they are fetched. One request in 30 loses a piece
	// after its inputs were released and starts over.
	memoryPressureShare = 0.7
	memoryPressureDelay = 100 * time.Millisecond
	// memoryRetryAfter is the delay before a client retries after no engine had memory for
	// its request: the time in which some of the running requests end.
	memoryRetryAfter = time.Second
	// endSlack is how long after the deadline of a request its engine may take to end it.
	endSlack = time.Second
	// refusalReserve is the time before the deadline at which an unfinished preparation
	// is stopped and its request refused, so that the refusal reaches the client in time.
	refusalReserve = 60 * time.Millisecond
)

// Coordinator prepares requests. Set the exported fields before Run.
type Coordinator struct {
	// Call sends a call to a stage server. It returns one result for each piece.
	Call func(ctx context.Context, call batch.Call) ([]Result, error)
	// ReleaseResults notifies a stage server that results are released.
	ReleaseResults func(ctx context.Context, address string, handles []string) error
	// FreeMemory queries how many bytes of result memory a stage server has free.
	FreeMemory func(ctx context.Context, address string) (int64, error)
	// ColdShare returns the share of the request rate limit of cold engines that this
	// instance may use, from 0 to 1. It is below 1 because two coordinators may act at
	// the same time.
	ColdShare func() float64
	// Admit decides about a request before and after its stages are computed. It reports
	// whether the request is sent as a probe (see package quarantine), and returns a
	// failure if it may not be sent.
	Admit func(task Task) (isProbe bool, failure *request.Failure)
	// OnFirstEvent is called with the prompt of each request whose first event is
	// recorded.
	OnFirstEvent func(id string, prompt engine.Prompt)
	// OnEnd is called with the ID of each request whose run has ended.
	OnEnd func(id string, status RunStatus)
	// OnDecision is called for each try that reserved an engine or was refused.
	OnDecision func(p Decision)
	// OnPrepared and OnCall are called with the durations of preparations and stage
	// calls, by pool.
	OnPrepared func(pool string, took time.Duration)
	OnCall     func(pool string, took time.Duration)
	Logger     *event.Logger
	Counters   *counter.Set
	Batches    *batch.Table
	Engines    *engine.Table
	// Shares counts the requests of each workspace.
	Shares *admission.Table
	// Rollouts decides which versions of servers may be used; nil allows all.
	Rollouts *rollout.Table
	// RecomputeBudget limits the pieces that are recomputed. The coordinator prepares the
	// requests of all instances, so this limit covers the requests of all of them.
	RecomputeBudget *pipeline.Budget

	table    *Table
	released chan []string
}

// NewCoordinator returns a coordinator without jobs.
func NewCoordinator() *Coordinator {
	return &Coordinator{
		ColdShare:       func() float64 { return 1 },
		Admit:           func(Task) (bool, *request.Failure) { return false, nil },
		OnFirstEvent:    func(string, engine.Prompt) {},
		OnEnd:           func(string, RunStatus) {},
		OnDecision:      func(Decision) {},
		OnPrepared:      func(string, time.Duration) {},
		OnCall:          func(string, time.Duration) {},
		Logger:          event.Discard(),
		Counters:        &counter.Set{},
		Batches:         batch.NewTable(),
		Engines:         engine.NewTable(),
		Shares:          admission.NewTable(),
		RecomputeBudget: pipeline.NewBudget(recomputeRatio, recomputeBurst),
		table:           NewTable(),
		released:        make(chan []string, 1024),
	}
}

// Queries returns the read access to the jobs.
func (c *Coordinator) Queries() Queries { return c.table.Queries() }

// Run makes stage calls, notifies stage servers of released results, and removes jobs
// that have expired or can't meet their deadline, until the context ends.
func (c *Coordinator) Run(ctx context.Context) error {
	var group errgroup.Group
	workers := worker.Pool[batch.Call]{Size: callWorkers, Next: c.Batches.Commands().Next, Execute: c.execute}
	// Calls in progress are cancelled as soon as the workers stop taking new ones.
	group.Go(func() error { return workers.Run(ctx, ctx) })
	group.Go(func() error { return c.runReleases(ctx) })
	group.Go(func() error { return c.runSweeps(ctx) })
	group.Go(func() error { return c.runShedding(ctx) })
	return group.Wait()
}

// Prepare computes the stage results of a request and reserves an engine for it. Its
// error is a request.Failure, and a request that fails here has not run.
func (c *Coordinator) Prepare(ctx context.Context, task Task) (Placement, error) {
	startedAt := time.Now()
	placement, err := c.prepare(ctx, task)
	waited := time.Since(startedAt)
	if placement.IsDeclined {
		c.Counters.Add("declined")
		return placement, nil
	}
	c.OnPrepared(task.Pool, waited)
	decision := Decision{
		RequestID: task.RequestID, Pool: task.Pool, Rank: task.Rank, Try: task.Try, OpenedAt: startedAt, Deadline: startedAt.Add(task.Deadline),
		Server: placement.Server, Waiting: c.table.Queries().waiting(task.Rank),
	}
	switch {
	case err != nil:
		failure := request.AsFailure(err)
		decision.Reason = failure.Reason
		c.OnDecision(decision)
		c.Logger.Write(event.RequestRejected, task.RequestID, task.Pool, task.Rank, waited.Milliseconds(), (task.Deadline - waited).Milliseconds(), string(failure.Reason), failure.Detail)
	case !placement.IsHandedOver:
		c.OnDecision(decision)
		c.Logger.Write(event.RequestPlaced, task.RequestID, task.Pool, placement.Server, placement.DataCentre, waited.Milliseconds(), task.Rank, len(placement.Inputs), placement.PrefixSource, task.Try)
	}
	return placement, err
}

func (c *Coordinator) prepare(ctx context.Context, task Task) (Placement, error) {
	openedAt := time.Now()
	isProbe, failure := c.Admit(task)
	if failure != nil {
		return Placement{}, *failure
	}
	if limit := c.Engines.Queries().MemoryTokens(task.Pool); limit > 0 {
		if task.Try <= 1 && task.Prompt.InputTokens > limit {
			return Placement{}, request.Refuse(request.ReasonInputTooLarge, fmt.Sprintf("the prompt has %d tokens, the memory of an engine holds %d", task.Prompt.InputTokens, limit))
		}
		task.Prompt = task.Prompt.WithinMemory(limit)
	}
	timeLeft := task.timeLeft()
	ctx, cancel := context.WithTimeout(ctx, timeLeft-min(refusalReserve, timeLeft/10))
	defer cancel()
	if !task.IsForced && c.table.Queries().isHandedOver() {
		// The estimate would be that of the queue of another coordinator.
		return Placement{IsHandedOver: true, Results: task.Results}, nil
	}
	if task.isNew() {
		switch outcome, expected := c.decideAdmission(task, openedAt); outcome {
		case admission.Decline:
			return Placement{IsDeclined: true}, nil
		case admission.Refuse:
			return Placement{}, refuseEarly(task, expected)
		case admission.Late:
			c.Counters.Add("admittedLate")
			task.isLate = true
		case admission.OnTime:
		}
	}
	if task.OnTimeOnly && c.Engines.Queries().IsShortOfMemory(task.Pool, task.Prompt, engine.Requirements{AvoidEngines: task.AvoidEngines, ColdShare: 1}, openedAt) {
		return Placement{IsDeclined: true}, nil
	}
	c.depositRecomputes(task)
	c.restoreResults(task, openedAt)
	job, followUp, ok := c.table.Commands().open(task, c.preferredDataCentre(task, openedAt), c.poolInfo(), openedAt)
	if !ok {
		return Placement{IsHandedOver: true, Results: task.Results}, nil
	}
	c.applyEffects(followUp)
	select {
	case <-job.done:
	case <-job.handOverReady:
		return Placement{IsHandedOver: true, Results: c.table.Commands().removeHandedOver(task.RequestID)}, nil
	case <-job.refused:
		return Placement{}, *job.refusal
	case <-ctx.Done():
		c.Abandon(task.RequestID, task.Try)
		return Placement{}, c.contextFailure(ctx, task, "stages")
	}
	placement, err := c.reserveEngine(ctx, task, isProbe, openedAt.Add(task.Objective))
	if err != nil {
		c.Abandon(task.RequestID, task.Try)
		return Placement{}, err
	}
	placement.WaitedMs = time.Since(openedAt).Milliseconds()
	return placement, nil
}

// depositRecomputes raises the recompute budget by recomputeRatio for each piece of a
// new request.
func (c *Coordinator) depositRecomputes(task Task) {
	if task.Try > 1 {
		return
	}
	for _, s := range task.Stages {
		for range s.Pieces {
			c.RecomputeBudget.Deposit()
		}
	}
}

// restoreResults adds the results that were computed for an earlier coordinator to the
// batch table, which counts their memory and looks up their data centres.
func (c *Coordinator) restoreResults(task Task, now time.Time) {
	for i, handles := range task.Results {
		if i < len(task.Stages) {
			c.Batches.Commands().RestoreResults(task.Stages[i].Pool, handles, task.Stages[i].Bytes, now)
		}
	}
}

// HandOver hands over all requests that are not prepared yet, so that another coordinator
// continues them with their results. A request whose pieces are in calls is handed over
// when these calls have ended.
func (c *Coordinator) HandOver() {
	for _, id := range c.table.Commands().handOver() {
		c.Batches.Commands().RemoveRequest(id)
	}
}

// Resume accepts requests again after HandOver.
func (c *Coordinator) Resume() { c.table.Commands().resume() }

func (c *Coordinator) callTime(pool string, pieces int) time.Duration {
	return c.Batches.Queries().TypicalCallTime(pool, pieces)
}

func (c *Coordinator) poolInfo() poolInfo {
	hasMemoryPressure := func(pool string) bool {
		depth := c.Batches.Queries().PoolStatus(pool, time.Now())
		return depth.UsedMemoryShare >= memoryPressureShare && depth.ExpectedWait >= memoryPressureDelay
	}
	return poolInfo{callTime: c.callTime, dataCentre: c.Batches.Queries().DataCentre, hasMemoryPressure: hasMemoryPressure}
}

func (c *Coordinator) contextFailure(ctx context.Context, task Task, awaited string) request.Failure {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		if task.isCutShort() {
			return refuseExiting()
		}
		return request.Refuse(request.ReasonDeadlineUnattainable, "preparation timed out waiting for "+awaited)
	}
	return request.Refuse(request.ReasonCancelled, ctx.Err().Error())
}

// RecordFirstEvent records the first event of a request and releases the results of its
// stages, which the engine fetches before the first event.
func (c *Coordinator) RecordFirstEvent(pool, server, id string, try int, took time.Duration) {
	c.Engines.Commands().RecordFirstEvent(pool, server, id, took, time.Now())
	if j, ok := c.table.Commands().job(id); ok {
		c.OnFirstEvent(id, j.task.Prompt)
	}
	c.release(c.table.Commands().close(id, try))
}

// RecordEnd records the end of a run at an engine.
func (c *Coordinator) RecordEnd(pool, server, id string, status RunStatus) {
	c.OnEnd(id, status)
	switch status {
	case RunFailed:
		c.Engines.Commands().RecordFailure(pool, server, id, time.Now())
	case RunRefused:
		c.Engines.Commands().RecordRejection(pool, server, id, time.Now())
	default:
		c.Engines.Commands().RecordEnd(pool, server, id)
	}
}

// Abandon cancels the preparation of a request that has not run yet.
func (c *Coordinator) Abandon(id string, try int) {
	if handles, ok := c.table.Commands().abandon(id, try); ok {
		c.Batches.Commands().RemoveRequest(id)
		c.release(handles)
	}
}

// SetAnswerBy records when the instance that a request came to gives its final answers. The
// request is refused as soon as it can't be prepared before, so that its client can go on to
// another instance.
func (c *Coordinator) SetAnswerBy(id string, at time.Time) {
	c.table.Commands().setAnswerBy(id, at)
	c.Batches.Commands().SetAnswerBy(id, at)
}

// applyEffects queues pieces and releases results.
func (c *Coordinator) applyEffects(followUp effects) {
	if len(followUp.enqueue) > 0 {
		for n, p := range followUp.enqueue {
			followUp.enqueue[n].IsTrial = c.Rollouts.Commands().Admit(p.Pool, time.Now())
		}
		c.Batches.Commands().Enqueue(followUp.enqueue)
	}
	c.release(followUp.release)
}

// release queues results for release. runReleases notifies the stage servers of many
// results at a time.
func (c *Coordinator) release(handles []string) {
	if len(handles) == 0 {
		return
	}
	select {
	case c.released <- handles:
	default:
		// The stage server drops the results when their lifetime ends.
		c.Counters.Add("freesDropped")
	}
}
