// Package instance assembles the daemon of an entry instance, which accepts the requests
// of callers: the tables, the front ends for callers, operators and peers, and the
// background tasks that keep the tables up to date.
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
	"lycheecrank.example/frontend"
	"lycheecrank.example/intake"
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

// Instance is one entry instance. Create it with New and change its exported
// fields only before Run.
type Instance struct {
	Settings settings.Settings
	Logger   *event.Logger
	// OnReady is called with the listen addresses when the instance accepts
	// connections.
	OnReady func(callers, peers string)

	// self identifies this instance, also in the handshake with its peers.
	self        peer.Hello
	platformLog *provider.Log
	instances   *provider.Instances
	logContact  *logContact
	isLeaving   atomic.Bool
	// isOutOfService is set while this data centre is taken out or on hold.
	isOutOfService atomic.Bool
	// isRejecting is set during a shutdown once the load balancer has had time to stop
	// sending requests. The instance rejects new requests from this point.
	isRejecting atomic.Bool
	// isHandingOver is set during a shutdown when this instance dispatches no new steps.
	isHandingOver atomic.Bool
	// ownershipTiming holds the durations of the ownership protocol. Zero fields mean the
	// defaults.
	ownershipTiming ownership.Timing
	snapshots       snapshotPolicy

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

	ownershipManager *ownership.Manager
	claimer          *claim.Claimer
	stages           *stage.Client
	runner           *pipeline.Runner
	workers          worker.Pool[dispatch.Assignment]
	decisions        precedence.Commands
	recorder         *precedence.Recorder
	peerClient       *peer.Client
	peerServer       *peer.Server
	gossip           *peer.Gossip
	recentOwnership  *recentRecords
	counters         counters
	// intake accounts for the memory and the connections of callers and peers, frontend
	// counts them.
	intake   *intake.Table
	frontend *frontend.Frontend

	addresses addresses
}

// counters are the published sets of counters by reason.
type counters struct {
	refusals *counter.Set
	retries  *counter.Set
	failures *counter.Set
	dropped  *counter.Set
	peers    *counter.Set
}

// addresses are the actual listen addresses.
type addresses struct {
	callers string
	peers   string
}

// New returns an instance that logs to out. It fails if the signing key can't be
// read or generated.
func New(config settings.Settings, out io.Writer) (*Instance, error) {
	i := &Instance{
		Settings:        config,
		Logger:          event.NewLogger(out, config.Log.Level, config.Instance.Name),
		OnReady:         func(string, string) {},
		self:            peer.Hello{Instance: config.Instance.Name, Incarnation: uuid.NewString(), DataCentre: config.Instance.DataCentre},
		recentOwnership: newRecentRecords(),

		snapshots: defaultSnapshots(),
		counters: counters{
			refusals: counter.NewSet("refusals"), retries: counter.NewSet("retries"),
			failures: counter.NewSet("stepFailures"), dropped: counter.NewSet("droppedResults"),
			peers: counter.NewSet("peers"),
		},
	}
	i.intake = intake.NewTable(intake.BoundsFor(i.MemoryBytes(), intake.Descriptors()))
	i.intake.Logger, i.intake.Counters = i.Logger, counter.NewSet("intake")
	counter.Publish("intakeState", func() any { return i.intake.Queries().Status() })
	i.frontend = frontend.New(i.intake.Commands(), 0)
	i.logContact = newLogContact(i.Logger)
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

// MemoryBytes returns the memory of the process.
func (i *Instance) MemoryBytes() int64 {
	return intake.ProcessMemory(int64(i.Settings.Limits.MemoryMb) * 1e6)
}

func (i *Instance) buildPlatform() {
	client := newPlatformClient()
	i.platformLog = i.withTimeouts(provider.NewLog(client, i.Settings.Platform.Log))
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
	i.claimer.Read, i.claimer.Events = i.readClaims, i.Logger
}

func (i *Instance) buildOwnership() {
	self := ownership.Identity{Instance: i.self.Instance, Incarnation: i.self.Incarnation, DataCentre: i.self.DataCentre}
	ownerships := ownership.NewTable(self, i.ownershipTiming, ownership.NewState(0), time.Now())
	ownerships.Logger = i.Logger
	i.ownershipCommands, i.ownershipQueries = ownerships.Commands(), ownerships.Queries()
	i.logContact.onAnswer = i.ownershipCommands.RecordLogContact
	i.ownershipManager = &ownership.Manager{
		Table: ownerships, Append: i.appendOwnership, Pools: i.retainedPools,
		Candidates: i.candidates, IsIdle: i.hasNoWork,
	}
}

func (i *Instance) buildDispatch() {
	i.stages = stage.NewClient(newBackendClient(i.onConnectionLost))
	i.stages.OnDropped = i.onResultDropped
	steps := dispatch.NewTable()
	steps.Reserve, steps.Release, steps.CancelReservation = i.backendCommands.Reserve, i.backendCommands.Release, i.backendCommands.CancelReservation
	steps.Capacity, steps.Permission, steps.MaxQueued = i.capacity, i.permission, i.maxQueued
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
		Execute: i.execute, Claim: i.claim, OnDecision: i.recordRequest, IsLeaving: i.isRejecting.Load,
		Requests: i.requestCommands, MaxInFlight: i.Settings.Limits.MaxInFlight,
		Budget:   pipeline.NewBudget(i.Settings.Retry.BudgetPerRequest, float64(i.Settings.Retry.BudgetBurst)),
		Refusals: i.counters.refusals, Retries: i.counters.retries, Logger: i.Logger,
	}
}

func (i *Instance) follower(stream string, initialize func(context.Context, provider.Page) error, nextOffset func() uint64, apply func([]provider.Record) error) *follower {
	return &follower{stream: stream, log: i.platformLog, initialize: initialize, nextOffset: nextOffset, apply: apply, onResult: i.logContact.record}
}

// withTimeouts returns a client of the log whose reads and appends have the platform's
// timeout. Their results update the last contact with the log.
func (i *Instance) withTimeouts(log *provider.Log) *provider.Log {
	timeout := i.Settings.Timeouts.Platform
	return &provider.Log{
		Append: func(ctx context.Context, stream string, data ...[]byte) (uint64, error) {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			first, err := log.Append(ctx, stream, data...)
			i.logContact.record(stream, err)
			return first, err
		},
		Read: func(ctx context.Context, stream string, from uint64) (provider.Page, error) {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			page, err := log.Read(ctx, stream, from)
			i.logContact.record(stream, err)
			return page, err
		},
		Tail: log.Tail,
	}
}

func (i *Instance) capacity(pool string, rank int, permission backend.Permission) backend.Capacity {
	return i.backendQueries.Capacity(pool, rank, permission, time.Now())
}

func (i *Instance) maxQueued(pool string) int {
	entry, _ := i.catalogueQueries.Current().Entry(catalogue.PoolKind, pool)
	return entry.Limits.WithDefaults(catalogue.PoolKind).MaxQueued
}

func (i *Instance) executeAtServer(ctx context.Context, assignment dispatch.Assignment) dispatch.Execution {
	execution := i.stages.Execute(ctx, assignment.Step, assignment.Server, assignment.Sink)
	return dispatch.Execution{Result: execution.Result, Failure: execution.Failure, ResponseTime: execution.ResponseTime, Incarnation: execution.Incarnation}
}

func (i *Instance) onResultDropped(step request.Step, reason string) {
	i.counters.dropped.Add(reason)
	i.Logger.Write(event.ResultDropped, step.RequestID, step.Stage, step.Attempt, reason)
}

// newPlatformClient returns a client that uses one HTTP/2 connection for all calls and
// tails. Pings detect a platform that is frozen or unreachable.
func newPlatformClient() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		Protocols:   protocols,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		HTTP2:       &http.HTTP2Config{SendPingTimeout: 2 * time.Second, PingTimeout: 2 * time.Second},
	}}
}

// newBackendClient returns a client for backend servers. It uses HTTP/1.1, because
// net/http then never repeats a call after a byte of it was written. It calls onLost
// with the address of each connection that a server has closed or that has failed.
func newBackendClient(onLost func(address string)) *http.Client {
	const perServer = 256
	return &http.Client{Transport: &http.Transport{
		DialContext:         watchedDialer(onLost),
		MaxIdleConnsPerHost: perServer,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,

		MaxResponseHeaderBytes: stage.MaxHeadBytes,
	}}
}
