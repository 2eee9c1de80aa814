package preparation

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheecrank.example/batch"
	"lycheecrank.example/counter"
	"lycheecrank.example/engine"
	"lycheecrank.example/event"
	"lycheecrank.example/pipeline"
	"lycheecrank.example/request"
	"lycheecrank.example/worker"
)

// Sentinel errors of calls of stages.
var (
	// ErrFull: the server had no place for the call and did nothing.
	ErrFull = errors.New("stage server full")
	// ErrMoved: another server answers at the address.
	ErrMoved = errors.New("unexpected stage server at the address")
)

// Verdict says what became of a piece.
type Verdict int

// The verdicts.
const (
	// Made pieces have a handle.
	Made Verdict = iota
	// Late pieces had no time left.
	Late
	// InputGone pieces need their inputs made again.
	InputGone
	// NoRoom pieces found no room for their result.
	NoRoom
	// Failed pieces failed for another reason.
	Failed
)

// Result is what a server says of a piece of a call.
type Result struct {
	Verdict Verdict
	Handle  string
}

const (
	// callWorkers bounds the calls of stages in progress.
	callWorkers = 64
	// engineRetry is the pause before an engine is looked for again.
	engineRetry = 25 * time.Millisecond
	// bulkyBytes is the size of results from which the engine is chosen before
	// they are made, so that they are made near it.
	bulkyBytes = 256 << 10
	// remakeRatio is how many pieces may be made again for each one that is asked for,
	// remakeBurst how many more at once: the loss of a few makers with their results,
	// not the second making of all that a fault of every maker would ask for.
	remakeRatio = 0.5
	remakeBurst = 400
	// fetchTime is the time after which a server has fetched the inputs of a call: the
	// way there and links of 10 Gbit/s take some 10 ms, the call takes 200 ms or more.
	fetchTime = 100 * time.Millisecond
	// crowdedShare is the taken part of a pool's room from which on results are given
	// up once they are fetched, crowdedDelay the wait there from which on: one request
	// in 30 loses a piece after that and begins again.
	crowdedShare = 0.7
	crowdedDelay = 100 * time.Millisecond
	// closeReserve is the time before the deadline at which a request that can't
	// be prepared is given up, so that its refusal arrives.
	closeReserve = 60 * time.Millisecond
)

// Coordinator prepares requests. Set the exported fields before Run.
type Coordinator struct {
	// Call has the results of a call made. It returns one result for each piece.
	Call func(ctx context.Context, call batch.Call) ([]Result, error)
	// Free tells a maker that results are given up.
	Free func(ctx context.Context, address string, handles []string) error
	// Room asks a server how many bytes of results it can still keep.
	Room func(ctx context.Context, address string) (int64, error)
	// Share returns the part of the bound of cold engines that this instance may
	// use, from 0 to 1.
	Share func() float64
	// Decided is told of each request that was placed or refused.
	Decided func(p Decision)
	// Prepared and Called are told how long preparations and calls of stages took, by
	// pool.
	Prepared func(pool string, took time.Duration)
	Called   func(pool string, took time.Duration)
	Logger   *event.Logger
	Counters *counter.Set
	Batches  *batch.Table
	Engines  *engine.Table
	// Remakes limits the pieces that are made again. One coordinator makes those of
	// all instances, so that it holds for all.
	Remakes *pipeline.Budget

	table *Table
	freed chan []string
}

// NewCoordinator returns a coordinator without jobs.
func NewCoordinator() *Coordinator {
	return &Coordinator{
		Share:    func() float64 { return 1 },
		Decided:  func(Decision) {},
		Prepared: func(string, time.Duration) {},
		Called:   func(string, time.Duration) {},
		Logger:   event.Discard(),
		Counters: &counter.Set{},
		Batches:  batch.NewTable(),
		Engines:  engine.NewTable(),
		Remakes:  pipeline.NewBudget(remakeRatio, remakeBurst),
		table:    NewTable(),
		freed:    make(chan []string, 1024),
	}
}

// Queries reads the jobs.
func (d *Coordinator) Queries() Queries { return d.table.Queries() }

// Run makes the calls until the context ends.
func (d *Coordinator) Run(ctx context.Context) error {
	var group errgroup.Group
	pool := worker.Pool[batch.Call]{Size: callWorkers, Next: d.Batches.Commands().Next, Execute: d.execute}
	group.Go(func() error { return pool.Run(ctx, ctx) })
	group.Go(func() error { return d.runFrees(ctx) })
	group.Go(func() error { return d.runSweeps(ctx) })
	group.Go(func() error { return d.runShedding(ctx) })
	return group.Wait()
}

// Prepare has the results of a request made, chooses its engine and counts the
// request there. It fails with a request.Failure that nothing was sent.
func (d *Coordinator) Prepare(ctx context.Context, o Order) (Placement, error) {
	begun := time.Now()
	p, err := d.prepare(ctx, o)
	waited := time.Since(begun)
	d.Prepared(o.Pool, waited)
	decision := Decision{
		Request: o.Request, Pool: o.Pool, Rank: o.Rank, Try: o.Try, OpenedAt: begun, Deadline: begun.Add(o.Deadline),
		Server: p.Server, Waiting: d.table.Queries().waiting(o.Rank),
	}
	switch {
	case err != nil:
		f := request.AsFailure(err)
		decision.Reason = f.Reason
		d.Decided(decision)
		d.Logger.Write(event.RequestTurnedAway, o.Request, o.Pool, o.Rank, waited.Milliseconds(), (o.Deadline - waited).Milliseconds(), string(f.Reason), f.Detail)
	case !p.IsMoved:
		d.Decided(decision)
		d.Logger.Write(event.RequestPlaced, o.Request, o.Pool, p.Server, p.DataCentre, waited.Milliseconds(), o.Rank, len(p.Inputs), p.Source, o.Try)
	}
	return p, err
}

func (d *Coordinator) prepare(ctx context.Context, o Order) (Placement, error) {
	openedAt := time.Now()
	reserve := min(closeReserve, o.Deadline/10)
	ctx, cancel := context.WithTimeout(ctx, o.Deadline-reserve)
	defer cancel()
	if f, ok := d.refuse(o, openedAt); ok {
		return Placement{}, f
	}
	d.earn(o)
	d.adopt(o, openedAt)
	e, s, ok := d.table.Commands().open(o, d.near(o, openedAt), d.knowledge(), openedAt)
	if !ok {
		return Placement{IsMoved: true, Made: o.Made}, nil
	}
	d.apply(s)
	select {
	case <-e.done:
	case <-e.moved:
		return Placement{IsMoved: true, Made: d.table.Commands().forget(o.Request)}, nil
	case <-e.shed:
		return Placement{}, *e.refusal
	case <-ctx.Done():
		d.Abandon(o.Request, o.Try)
		return Placement{}, d.ended(ctx, "stages")
	}
	p, err := d.place(ctx, o)
	if err != nil {
		d.Abandon(o.Request, o.Try)
		return Placement{}, err
	}
	p.WaitedMs = time.Since(openedAt).Milliseconds()
	return p, nil
}

// earn allows some pieces to be made again for those that are asked for.
func (d *Coordinator) earn(o Order) {
	if o.Try > 1 {
		return
	}
	for _, s := range o.Stages {
		for range s.Pieces {
			d.Remakes.Earn()
		}
	}
}

// adopt counts the results that an earlier coordinator had made.
func (d *Coordinator) adopt(o Order, now time.Time) {
	for i, handles := range o.Made {
		if i < len(o.Stages) {
			d.Batches.Commands().Adopt(o.Stages[i].Pool, handles, o.Stages[i].Bytes, now)
		}
	}
}

// HandOver lets all requests go that are not prepared yet, so that another
// coordinator goes on with their results. Calls in progress are ended first.
func (d *Coordinator) HandOver() {
	for _, id := range d.table.Commands().handOver() {
		d.Batches.Commands().Withdraw(id)
	}
}

// TakeUp prepares requests again.
func (d *Coordinator) TakeUp() { d.table.Commands().takeUp() }

// refuse refuses a request early whose stages can't be done in its time, so that
// its client can come back.
func (d *Coordinator) refuse(o Order, now time.Time) (request.Failure, bool) {
	if len(o.Made) > 0 || o.Try > 1 {
		return request.Failure{}, false
	}
	j := newJob(o, now)
	expected := time.Duration(0)
	for i, s := range o.Stages {
		if s.Pieces > 0 {
			wait := d.Batches.Queries().Wait(s.Pool, latestStart(j, i, d.usual), o.class(), now)
			expected = max(expected, wait) + d.usual(s.Pool, callPieces)
		}
	}
	if expected <= min(o.Objective+lateSlack, o.Deadline) {
		return request.Failure{}, false
	}
	f := request.Refuse(request.ReasonDeadlineUnattainable, "expected preparation time exceeds the limit: "+expected.String())
	return f.WithRetryAfter(o.retryAfter(expected - o.Objective)), true
}

func (d *Coordinator) usual(pool string, pieces int) time.Duration {
	return d.Batches.Queries().CallTime(pool, pieces)
}

func (d *Coordinator) knowledge() knowledge {
	isCrowded := func(pool string) bool {
		depth := d.Batches.Queries().Depth(pool, time.Now())
		return depth.RoomTaken >= crowdedShare && depth.Delay >= crowdedDelay
	}
	return knowledge{usual: d.usual, place: d.Batches.Queries().DataCentre, isCrowded: isCrowded}
}

// near returns the data centre in which large results should be made: that of the
// engine that would be chosen now.
func (d *Coordinator) near(o Order, now time.Time) string {
	for _, s := range o.Stages {
		if s.Pieces == 0 || s.Bytes < bulkyBytes {
			continue
		}
		p, _ := d.Engines.Queries().Nearest(o.Pool, o.Prompt, engine.Needs{Avoid: o.Avoid, Rate: 1}, now)
		return p.DataCentre
	}
	return ""
}

func (d *Coordinator) ended(ctx context.Context, what string) request.Failure {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return request.Refuse(request.ReasonDeadlineUnattainable, "preparation timed out waiting for "+what)
	}
	return request.Refuse(request.ReasonCancelled, ctx.Err().Error())
}

// place chooses the engine and waits while none may get the request.
func (d *Coordinator) place(ctx context.Context, o Order) (Placement, error) {
	timer := time.NewTimer(engineRetry)
	defer timer.Stop()
	for {
		j, ok := d.table.Commands().inputs(o.Request)
		if !ok {
			return Placement{}, request.Refuse(request.ReasonCancelled, "preparation abandoned")
		}
		inputs := j.inputs()
		needs := engine.Needs{Results: d.places(j), Avoid: o.Avoid, Only: o.Only, Rate: d.Share()}
		p, ok := d.Engines.Commands().Reserve(o.Pool, o.Request, o.Prompt, needs, time.Now())
		if ok {
			return Placement{Server: p.ID, Address: p.Address, DataCentre: p.DataCentre, Source: p.Source, Inputs: inputs, Expected: p.Expected}, nil
		}
		d.Counters.Add("noEngine")
		timer.Reset(engineRetry)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return Placement{}, d.ended(ctx, "engines")
		}
	}
}

// places returns the size of the results that the engine fetches by data centre.
func (d *Coordinator) places(j job) map[string]int64 {
	sizes := map[string]int64{}
	for i, s := range j.order.Stages {
		if len(j.followers(i)) > 0 {
			continue
		}
		for _, h := range j.handles[i] {
			if dc := d.Batches.Queries().DataCentre(h); dc != "" {
				sizes[dc] += s.Bytes
			}
		}
	}
	return sizes
}

// Started notes the first event of a request: its engine has fetched the results.
func (d *Coordinator) Started(pool, server, id string, try int, took time.Duration) {
	d.Engines.Commands().Started(pool, server, id, took)
	d.free(d.table.Commands().close(id, try))
}

// Ended notes that a request has ended at its engine.
func (d *Coordinator) Ended(pool, server, id string, e Ending) {
	switch e {
	case RunFailed:
		d.Engines.Commands().Failed(pool, server, id, time.Now())
	case RunRefused:
		d.Engines.Commands().Refused(pool, server, id, time.Now())
	default:
		d.Engines.Commands().Ended(pool, server, id)
	}
}

// Abandon gives a preparation of a request up before it runs.
func (d *Coordinator) Abandon(id string, try int) {
	if handles, ok := d.table.Commands().abandon(id, try); ok {
		d.Batches.Commands().Withdraw(id)
		d.free(handles)
	}
}

// apply queues pieces and frees results.
func (d *Coordinator) apply(s step) {
	if len(s.queue) > 0 {
		d.Batches.Commands().Enqueue(s.queue)
	}
	d.free(s.free)
}

// free gives results up. The makers are told later, many at a time.
func (d *Coordinator) free(handles []string) {
	if len(handles) == 0 {
		return
	}
	select {
	case d.freed <- handles:
	default:
		// The maker drops the results at the end of their life.
		d.Counters.Add("freesDropped")
	}
}
