// Package instance assembles the daemon that an entry instance runs: the
// tables, the front ends for callers, operators and peers, and the background
// work that keeps the tables up to date.
package instance

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"lycheecrank.example/backend"
	"lycheecrank.example/catalogue"
	"lycheecrank.example/claim"
	"lycheecrank.example/counter"
	"lycheecrank.example/dispatch"
	"lycheecrank.example/event"
	"lycheecrank.example/member"
	"lycheecrank.example/ownership"
	"lycheecrank.example/peer"
	"lycheecrank.example/pipeline"
	"lycheecrank.example/precedence"
	"lycheecrank.example/provider"
	"lycheecrank.example/request"
	"lycheecrank.example/settings"
	"lycheecrank.example/stage"
	"lycheecrank.example/worker"
)

// Version is the version of the program.
const Version = "0.1.0"

// Instance is one instance of the system. Create it with New, change its
// exported fields before Run.
type Instance struct {
	Settings settings.Settings
	Logger   *event.Logger
	// Ready is called with the addresses once the instance accepts connections.
	Ready func(callers, peers string)

	self        peer.Hello
	platformLog *provider.Log
	instances   *provider.Instances
	contact     *contact
	leaving     atomic.Bool
	// closed tells that this data centre is taken out or on hold.
	closed atomic.Bool
	// refusing is set once the balancer has had time to notice the leaving.
	refusing atomic.Bool
	// handingOver is set once this instance dispatches no new steps.
	handingOver atomic.Bool
	// timing is that of the terms; its zero fields stand for the defaults.
	timing    ownership.Timing
	snapshots snapshotPolicy

	catalogueCommands catalogue.Commands
	catalogueQueries  catalogue.Queries
	ownershipCommands ownership.Commands
	ownershipQueries  ownership.Queries
	memberCommands    member.Commands
	memberQueries     member.Queries
	backendCommands   backend.Commands
	backendQueries    backend.Queries
	dispatchCommands  dispatch.Commands
	dispatchQueries   dispatch.Queries
	requestCommands   request.Commands
	requestQueries    request.Queries
	claimCommands     claim.Commands
	claimQueries      claim.Queries

	keeper     *ownership.Manager
	claimer    *claim.Claimer
	stages     *stage.Client
	runner     *pipeline.Runner
	workers    worker.Pool[dispatch.Assignment]
	decisions  precedence.Commands
	recorder   *precedence.Recorder
	peerClient *peer.Client
	peerServer *peer.Server
	gossip     *peer.Gossip
	recent     *recentRecords
	counters   counters

	addresses addresses
}

// counters are the counters by reason.
type counters struct {
	refusals *counter.Set
	retries  *counter.Set
	failures *counter.Set
	dropped  *counter.Set
	peers    *counter.Set
}

// addresses are those that the instance really listens on.
type addresses struct {
	callers string
	peers   string
}

// New returns an instance that logs to out. It fails if the signing key can't be
// read.
func New(s settings.Settings, out io.Writer) (*Instance, error) {
	i := &Instance{
		Settings: s,
		Logger:   event.NewLogger(out, s.Log.Level, s.Instance.Name),
		Ready:    func(string, string) {},
		self:     peer.Hello{Instance: s.Instance.Name, Incarnation: uuid.NewString(), DataCentre: s.Instance.DataCentre},
		recent:   newRecentRecords(),

		snapshots: defaultSnapshots(),
		counters: counters{
			refusals: counter.NewSet("refusals"), retries: counter.NewSet("retries"),
			failures: counter.NewSet("stepFailures"), dropped: counter.NewSet("droppedResults"),
			peers: counter.NewSet("peers"),
		},
	}
	i.contact = newContact(i.Logger)
	i.buildPlatform()
	i.buildTables()
	i.buildOwnership()
	if err := i.buildPrecedence(); err != nil {
		return nil, err
	}
	i.buildDispatch()
	i.buildRunner()
	i.buildPeers()
	return i, nil
}

func (i *Instance) buildPlatform() {
	client := platformHTTP()
	i.platformLog = i.bounded(provider.NewLog(client, i.Settings.Platform.Log))
	i.instances = provider.NewInstances(client, i.Settings.Platform.Instances)
}

func (i *Instance) buildTables() {
	catalogues := catalogue.NewTable()
	i.catalogueCommands, i.catalogueQueries = catalogues.Commands(), catalogues.Queries()
	members := member.NewTable()
	i.memberCommands, i.memberQueries = members.Commands(), members.Queries()
	backends := backend.NewTable(i.Logger)
	i.backendCommands, i.backendQueries = backends.Commands(), backends.Queries()
	requests := request.NewTable()
	i.requestCommands, i.requestQueries = requests.Commands(), requests.Queries()
	claims := claim.NewTable()
	i.claimCommands, i.claimQueries = claims.Commands(), claims.Queries()
	i.claimer = claim.NewClaimer(claims, i.appendClaims)
	i.claimer.Instance, i.claimer.Incarnation = i.self.Instance, i.self.Incarnation
	i.claimer.Events = i.Logger
}

func (i *Instance) buildOwnership() {
	self := ownership.Identity{Instance: i.self.Instance, Incarnation: i.self.Incarnation, DataCentre: i.self.DataCentre}
	terms := ownership.NewTable(self, i.timing, ownership.NewState(0), time.Now())
	terms.Logger = i.Logger
	i.ownershipCommands, i.ownershipQueries = terms.Commands(), terms.Queries()
	i.contact.heard = i.ownershipCommands.RecordLogContact
	i.keeper = &ownership.Manager{
		Table: terms, Append: i.appendOwnership, Pools: i.keptPools,
		Candidates: i.candidates, IsIdle: i.hasNoWork,
	}
}

func (i *Instance) buildDispatch() {
	i.stages = stage.NewClient(backendHTTP(i.connectionLost))
	i.stages.OnDropped = i.resultDropped
	steps := dispatch.NewTable()
	steps.Reserve, steps.Release, steps.CancelReservation = i.backendCommands.Reserve, i.backendCommands.Release, i.backendCommands.CancelReservation
	steps.Capacity, steps.Permission, steps.MaxQueued = i.capacity, i.rights, i.maxQueued
	steps.CurrentServer = i.backendQueries.Server
	steps.Execute = i.executeAtServer
	steps.OnDecision = i.recordDispatch
	steps.Failures = i.counters.failures
	i.dispatchCommands, i.dispatchQueries = steps.Commands(), steps.Queries()
	i.workers = worker.Pool[dispatch.Assignment]{
		Size: i.Settings.Workers, Next: i.dispatchCommands.Next, Execute: i.dispatchCommands.Run,
	}
}

func (i *Instance) buildRunner() {
	i.runner = &pipeline.Runner{
		Catalogue: func() (catalogue.Catalogue, bool) {
			return i.catalogueQueries.Current(), i.catalogueQueries.IsLoaded()
		},
		Execute: i.execute, Claim: i.claim, OnDecision: i.recordRequest, IsLeaving: i.refusing.Load,
		Requests: i.requestCommands, MaxInFlight: i.Settings.Limits.MaxInFlight,
		Budget:   pipeline.NewBudget(i.Settings.Retry.BudgetPerRequest, float64(i.Settings.Retry.BudgetBurst)),
		Refusals: i.counters.refusals, Retries: i.counters.retries, Logger: i.Logger,
	}
}

func (i *Instance) follower(stream string, begin func(context.Context, provider.Page) error, next func() uint64, apply func([]provider.Record) error) *follower {
	return &follower{stream: stream, log: i.platformLog, begin: begin, next: next, apply: apply, contact: i.contact.note}
}

// bounded returns a client of the log whose reads and appends take at most the
// platform's timeout and count as contact when they are answered.
func (i *Instance) bounded(l *provider.Log) *provider.Log {
	limit := i.Settings.Timeouts.Platform
	return &provider.Log{
		Append: func(ctx context.Context, stream string, data ...[]byte) (uint64, error) {
			ctx, cancel := context.WithTimeout(ctx, limit)
			defer cancel()
			first, err := l.Append(ctx, stream, data...)
			i.contact.note(stream, err)
			return first, err
		},
		Read: func(ctx context.Context, stream string, from uint64) (provider.Page, error) {
			ctx, cancel := context.WithTimeout(ctx, limit)
			defer cancel()
			page, err := l.Read(ctx, stream, from)
			i.contact.note(stream, err)
			return page, err
		},
		Tail: l.Tail,
	}
}

func (i *Instance) capacity(pool string, rank int, r backend.Permission) backend.Capacity {
	return i.backendQueries.Capacity(pool, rank, r, time.Now())
}

func (i *Instance) maxQueued(pool string) int {
	e, _ := i.catalogueQueries.Current().Entry(catalogue.PoolKind, pool)
	return e.Limits.WithDefaults(catalogue.PoolKind).MaxQueued
}

func (i *Instance) executeAtServer(ctx context.Context, a dispatch.Assignment) dispatch.Execution {
	e := i.stages.Execute(ctx, a.Step, a.Server, a.Sink)
	return dispatch.Execution{Result: e.Result, Failure: e.Failure, ResponseTime: e.ResponseTime, Incarnation: e.Incarnation}
}

func (i *Instance) resultDropped(step request.Step, reason string) {
	i.counters.dropped.Add(reason)
	i.Logger.Write(event.ResultDropped, step.RequestID, step.Stage, step.Attempt, reason)
}

// platformHTTP returns a client that shares one HTTP/2 connection for all calls
// and tails. Pings find a platform that is frozen or cut off.
func platformHTTP() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		Protocols:   protocols,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		HTTP2:       &http.HTTP2Config{SendPingTimeout: 2 * time.Second, PingTimeout: 2 * time.Second},
	}}
}

// backendHTTP returns a client for backend servers. It uses HTTP/1.1, on which
// net/http repeats no call of which a byte was written. It tells lost about each
// connection that a server has ended.
func backendHTTP(lost func(address string)) *http.Client {
	const perServer = 256
	return &http.Client{Transport: &http.Transport{
		DialContext:         watchedDialer(lost),
		MaxIdleConnsPerHost: perServer,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}
}
