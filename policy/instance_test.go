package policy

import (
	"context"
	"sync"
	"time"

	"lycheecrank.example/backend"
	"lycheecrank.example/catalogue"
	"lycheecrank.example/counter"
	"lycheecrank.example/dispatch"
	"lycheecrank.example/event"
	"lycheecrank.example/pipeline"
	"lycheecrank.example/request"
	"lycheecrank.example/worker"
)

// dispatcher is an instance that queues and dispatches steps for the pool.
type dispatcher struct {
	backends *backend.Table
	table    *dispatch.Table
	commands dispatch.Commands
	results  *results
	servers  map[string]*simulatedServer
	timeline *timeline
	// limitDivisor is the number of dispatchers that share the limits of the servers
	// equally.
	limitDivisor int
}

func newDispatcher(servers []*simulatedServer, share int, l *timeline, m *results) *dispatcher {
	d := &dispatcher{
		backends: backend.NewTable(event.Discard()), table: dispatch.NewTable(), results: m, limitDivisor: share, servers: map[string]*simulatedServer{}, timeline: l,
	}
	commands, queries := d.backends.Commands(), d.backends.Queries()
	t := d.table
	t.Reserve, t.Release, t.CancelReservation, t.CurrentServer = commands.Reserve, commands.Release, commands.CancelReservation, queries.Server
	t.Permission = func(string, time.Time) backend.Permission {
		return backend.Permission{AllowCold: true, WarmLimitDivisor: 1}
	}
	t.Capacity = func(pool string, rank int, r backend.Permission) backend.Capacity {
		return backend.CapacityOf(queries.Pool(pool), rank, r, time.Now())
	}
	t.MaxQueued = func(string) int { return 10_000 }
	t.Failures = counter.NewSet("policy.failures")
	t.Execute = d.execute
	t.OnDecision = d.recordDecision
	d.commands = t.Commands()
	d.addServers(servers)
	return d
}

// addServers registers the servers with the dispatcher.
func (d *dispatcher) addServers(servers []*simulatedServer) {
	var specs []backend.Spec
	for _, s := range servers {
		spec := s.spec
		spec.MaxInFlight, spec.ColdInFlight = max(1, spec.MaxInFlight/d.limitDivisor), max(1, spec.ColdInFlight/d.limitDivisor)
		specs = append(specs, spec)
		d.servers[spec.Name] = s
	}
	d.backends.Commands().Sync(specs, time.Now())
}

func (d *dispatcher) execute(ctx context.Context, a dispatch.Assignment) dispatch.Execution {
	started := time.Now()
	e := dispatch.Execution{Result: request.Result{Identity: a.Step.Identity(), Server: a.Server.Name}, Incarnation: "1"}
	e.Failure = d.servers[a.Server.Name].perform(ctx, a.Step, d.results)
	e.ResponseTime = time.Since(started)
	return e
}

func (d *dispatcher) recordDecision(o dispatch.Decision) {
	if o.Server != "" {
		d.results.recordDispatch(o.Step.Rank)
	}
	d.results.add(&d.results.waiting[o.Step.Rank], -1)
}

// submit queues a step. It counts as waiting until it is dispatched, refused or
// withdrawn.
func (d *dispatcher) submit(ctx context.Context, step request.Step) (request.Result, error) {
	d.results.add(&d.results.waiting[step.Rank], 1)
	result, err := d.commands.Do(ctx, step, nil)
	if err == nil {
		return result, nil
	}
	f := request.AsFailure(err)
	if isWithdrawn(f) {
		d.results.add(&d.results.waiting[step.Rank], -1)
	}
	return result, f.WithDataCentre("here")
}

// isWithdrawn reports whether a step was withdrawn from the queue, for which the
// table reports no decision.
func isWithdrawn(f request.Failure) bool {
	return !f.Sent && f.Detail == "the deadline passed while the step was queued"
}

// run starts the workers, sweeps and load reports, which stop when the context
// ends.
func (d *dispatcher) run(ctx context.Context, group *sync.WaitGroup) {
	pool := worker.Pool[dispatch.Assignment]{Size: 20 * max(1, slots/d.limitDivisor), Next: d.commands.Next, Execute: d.commands.Run}
	group.Go(func() { _ = pool.Run(ctx, ctx) })
	group.Go(func() { _ = d.commands.RunSweeps(ctx) })
	group.Go(func() {
		// The interval is no multiple of that of the sweeps, so that reports and
		// sweeps rarely coincide.
		for d.timeline.sleep(ctx, 1007*time.Millisecond, "report") {
			for _, s := range d.backends.Queries().All() {
				d.backends.Commands().ApplyReport(s.Name, d.servers[s.Name].report(), time.Now())
			}
			d.commands.WakeWorker()
		}
	})
}

// newRunner returns the runner of an entry instance.
func newRunner(execute func(context.Context, request.Step) (request.Result, error)) *pipeline.Runner {
	c := newCatalogue()
	return &pipeline.Runner{
		Catalogue: func() (catalogue.Catalogue, bool) { return c, true },
		Execute: func(ctx context.Context, step request.Step, _ request.Sink) (request.Result, error) {
			return execute(ctx, step)
		},
		IsLeaving: func() bool { return false },
		Requests:  request.NewTable().Commands(),
		Budget:    pipeline.NewBudget(0.1, 100),
		Refusals:  counter.NewSet("policy.refusals"), Retries: counter.NewSet("policy.retries"),
		Logger: event.Discard(),
	}
}

const ranks = 3

// The classes by rank, the fraction of requests in each of them, and the
// workspaces with their weights and fractions of the load.
var (
	classes        = [ranks]string{"urgent", "normal", "batch"}
	classFractions = [ranks]float64{0.2, 0.3, 0.5}
	workspaces     = []struct {
		name   string
		weight int
		load   float64
	}{{"a", 1, 0.4}, {"b", 1, 0.3}, {"c", 2, 0.15}, {"d", 2, 0.1}, {"e", 4, 0.05}}
)

func newCatalogue() catalogue.Catalogue {
	all := map[catalogue.ID]catalogue.Entry{}
	put := func(e catalogue.Entry) { all[e.ID()] = e }
	for rank, name := range classes {
		put(catalogue.Entry{Kind: catalogue.ClassKind, Name: name, Class: name, Rank: rank})
	}
	for _, w := range workspaces {
		put(catalogue.Entry{Kind: catalogue.WorkspaceKind, Name: w.name, Class: classes[0], Weight: w.weight})
	}
	put(catalogue.Entry{Kind: catalogue.ServiceKind, Name: "step", Class: classes[0], Pool: "p", Repeatable: true})
	return catalogue.Catalogue{}.WithEntries(1, all)
}
