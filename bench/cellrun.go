package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/catalogue"
	"lycheecrank.example/lock"
	"lycheecrank.example/standin/fault"
)

// Lycheecrank names the product in results.
const Lycheecrank = "lycheecrank"

// takeOutBound is how soon a data centre that was taken out gets no new work.
const takeOutBound = 5 * time.Second

// CellRun runs a load on a cell. Set the exported fields before Run.
type CellRun struct {
	Cell Cell
	Load Load
	// Balance is Lycheecrank or one of the baselines.
	Balance string
	// Launch starts an instance.
	Launch   func(ctx context.Context, text string, logs io.Writer) (Running, error)
	Logs     io.Writer
	Actions  []Action
	Progress func(Progress)
	// Warm is how long a load of WarmPerSecond warms up the servers; it is
	// repeated, at most four times, until those of the scarce pool are warm. The
	// others have capacity to spare, and some of them get no work at all.
	Warm          time.Duration
	WarmPerSecond float64
}

// cellState is a cell that runs.
type cellState struct {
	CellRun
	site      *Site
	instances []Running
	// dispatcher is set for a baseline.
	dispatcher *Dispatcher
	send       func(ctx context.Context, a Arrival, start time.Time) Reply

	mu *lock.Ranked
	// verdicts holds the verdict on each filing by its subject.
	verdicts map[string]Verdict
	events   []string
	// outSince holds how many steps a data centre had begun when the bound after
	// its take-out was over.
	outSince map[string]int64
	workOut  map[string]int64
}

// Run starts the cell, warms it up, runs the load and ends the cell.
func (c CellRun) Run(ctx context.Context) (result Result, err error) {
	s := &cellState{
		CellRun: c, site: &Site{Warm: c.Balance != Lycheecrank}, mu: lock.New(rankTally+4, "bench cell"),
		verdicts: map[string]Verdict{}, outSince: map[string]int64{}, workOut: map[string]int64{},
	}
	defer func() { err = errors.Join(err, s.site.Stop()) }()
	if err := s.site.Start(ctx, c.Cell); err != nil {
		return result, err
	}
	stop, err := s.startSide(ctx)
	defer func() { err = errors.Join(err, stop()) }()
	if err != nil {
		return result, err
	}
	if err := s.warm(ctx); err != nil {
		return result, err
	}
	return s.measure(ctx), nil
}

// startSide starts the instances, or the dispatcher of a baseline.
func (s *cellState) startSide(ctx context.Context) (stop func() error, err error) {
	if s.Balance != Lycheecrank {
		s.dispatcher = NewDispatcher(s.site, s.Balance)
		s.send = s.dispatcher.Send
		return func() error { return nil }, nil
	}
	n := s.Cell.Instances * len(s.Cell.DataCentres)
	s.instances, err = launchAll(ctx, s.Launch, s.Logs, s.site, n, "1s")
	if err != nil {
		return func() error { return stopAll(s.instances) }, err
	}
	var addresses []string
	for _, i := range s.instances {
		addresses = append(addresses, i.Address)
	}
	balancer := NewBalancer(NewHTTP(), addresses)
	checking, end := context.WithCancel(ctx)
	var group errgroup.Group
	group.Go(func() error {
		balancer.Run(checking)
		return nil
	})
	s.send = (&Caller{HTTP: NewHTTP(), Choose: balancer.Choose}).Send
	return func() error {
		end()
		return errors.Join(group.Wait(), stopAll(s.instances))
	}, nil
}

// warm runs a load that is not counted until the scarce servers are warm.
func (s *cellState) warm(ctx context.Context) error {
	l := s.Load.WithRate(s.WarmPerSecond).WithDuration(s.Warm)
	l.Arrivals.Process = Steady
	const rounds = 4
	for n := range uint64(rounds) {
		// The subjects hold the seed, so that no subject of the load is filed here.
		Driver{Load: l.WithSeed(s.Load.Seed + 1000 + n), Send: s.send}.Run(ctx)
		if len(s.site.coldServers(s.Cell.Scarce)) == 0 || s.dispatcher != nil {
			return ctx.Err()
		}
	}
	s.note(0, fmt.Sprintf("%v had too few requests to be warm", s.site.coldServers(s.Cell.Scarce)))
	return ctx.Err()
}

func (s *cellState) measure(ctx context.Context) Result {
	before := s.site.counts()
	acting, stop := context.WithCancel(ctx)
	var group errgroup.Group
	start := time.Now()
	for _, a := range s.Actions {
		group.Go(func() error {
			s.act(acting, start, a)
			return nil
		})
	}
	r := Driver{Load: s.Load, Balance: s.Balance, Send: s.send, Progress: s.Progress, Judged: s.judged}.Run(ctx)
	for dc := range s.outSince {
		s.endOut(dc)
	}
	stop()
	_ = group.Wait()
	s.site.platform.SetFault(fault.Fault{})
	return r.WithCell(s.result(before, r))
}

func (s *cellState) judged(a Arrival, v Verdict) {
	if !a.Keyed {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.verdicts[a.Input] = v
}

func (s *cellState) note(at time.Duration, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf("%.1f s %s", at.Seconds(), text))
}

// act does an action at its time and notes when it was done.
func (s *cellState) act(ctx context.Context, start time.Time, a Action) {
	if !sleep(ctx, time.Until(start.Add(a.At))) {
		return
	}
	err := s.do(ctx, a)
	text := fmt.Sprintf("%s %s", a.Kind, a.Name)
	if err != nil {
		text += ": " + err.Error()
	}
	s.note(time.Since(start), text)
	if a.Kind == TakeOut && err == nil && sleep(ctx, takeOutBound) {
		started := s.site.started(a.Name)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.outSince[a.Name] = started
	}
}

// endOut counts the new work of a data centre while it was out.
func (s *cellState) endOut(dataCentre string) {
	started := s.site.started(dataCentre)
	s.mu.Lock()
	defer s.mu.Unlock()
	if since, ok := s.outSince[dataCentre]; ok {
		s.workOut[dataCentre] += started - since
		delete(s.outSince, dataCentre)
	}
}

func (s *cellState) do(ctx context.Context, a Action) error {
	switch a.Kind {
	case TakeOut, BringBack:
		return s.setState(ctx, a)
	case TurnCold:
		return s.site.TurnCold(a.Name)
	case FreezePlatform:
		s.site.platform.SetFault(fault.Fault{Freeze: true})
	case DownPlatform:
		s.site.platform.SetFault(fault.Fault{Down: true})
	case HealPlatform:
		s.site.platform.SetFault(fault.Fault{})
	case Kill, Drain:
		return s.end(a)
	}
	return nil
}

func (s *cellState) setState(ctx context.Context, a Action) error {
	if a.Kind == BringBack {
		s.endOut(a.Name)
	}
	if s.dispatcher != nil {
		s.dispatcher.SetTakenOut(a.Name, a.Kind == TakeOut)
		return nil
	}
	state := catalogue.TakenOut
	if a.Kind == BringBack {
		state = catalogue.InService
	}
	return s.site.SetState(ctx, a.Name, state)
}

// end ends an instance. A baseline has no drain of its own: its instance is
// killed too.
func (s *cellState) end(a Action) error {
	number, err := strconv.Atoi(a.Name)
	if err != nil {
		return err
	}
	if s.dispatcher != nil {
		return s.dispatcher.Kill(number)
	}
	if number < 1 || number > len(s.instances) {
		return eris.Errorf("no instance %d", number)
	}
	if a.Kind == Kill {
		return s.instances[number-1].Kill()
	}
	return s.instances[number-1].Stop()
}

// result sums up what the stand-ins have counted since the load began.
func (s *cellState) result(before map[string]StageCost, r Result) CellResult {
	cell := CellResult{Events: s.events, WorkAfterTakeOut: s.workOut, CapacityPerSecond: s.Cell.Capacity()}
	useful := s.stepsByPool(r.WholeByTarget)
	after := s.site.counts()
	for _, pool := range slices.Sorted(maps.Keys(after)) {
		c, b := after[pool], before[pool]
		c.Executed, c.Refused, c.FellOver = c.Executed-b.Executed, c.Refused-b.Refused, c.FellOver-b.FellOver
		c.Useful = useful[pool]
		if c.Executed+c.Refused > 0 {
			cell.Stages = append(cell.Stages, c)
		}
	}
	counted := s.Load.Duration - settlingOf(s.Load.Duration)
	if capacity := cell.CapacityPerSecond * counted.Seconds(); capacity > 0 {
		cell.UsefulShare = float64(s.stepsByPool(r.Settled)[s.Cell.Scarce]) / capacity
	}
	filings := s.site.filings()
	for subject, v := range s.verdicts {
		if filings[subject] > 1 {
			cell.DoubledAtServers++
		}
		if v == Refused && filings[subject] > 0 {
			cell.FalseRefusals++
		}
	}
	return cell
}

// stepsByPool returns how many steps of each pool a number of answers by target
// needs.
func (s *cellState) stepsByPool(byTarget map[string]int64) map[string]int64 {
	byPool := map[string]int64{}
	for target, n := range byTarget {
		if e, ok := s.Cell.entry(catalogue.ServiceKind, target); ok {
			byPool[e.Pool] += n
		}
		if e, ok := s.Cell.entry(catalogue.PipelineKind, target); ok {
			for _, one := range e.Stages {
				byPool[one.Pool] += n
			}
		}
	}
	return byPool
}
