// Package entry assembles the instance that runs on the users' platform, which provides
// the settings, the store, the balancer and the backend servers (see package platform).
// The instance serves clients, keeps the configuration and the list of backend servers
// up to date, and exchanges heartbeats with the other instances. While it is the
// coordinator of its cell (see packages membership and cell), it prepares requests for
// all instances of the cell: it has their stages computed and reserves an engine for
// each. The leader is the coordinator that would be chosen if the whole site were one
// cell; it reads the streams of the store and passes them on.
//
// An attempt is one request of a client; a client that repeats its request makes another
// attempt. A try is one of the sends to backend servers that an attempt leads to.
//
// An instance keeps copies of two streams of the store: the operators' stream, which
// holds the operator changes (the configuration and the evacuations of data centres),
// and the servers' stream, which holds the entries of the backend servers. A copy is
// confirmed for a time if it is known to have held all records of the store at that
// time. The age of a copy is the time since then.
package entry

import (
	"context"
	"io"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"lycheecrank.example/backend"
	"lycheecrank.example/cell"
	"lycheecrank.example/counter"
	"lycheecrank.example/delivery"
	"lycheecrank.example/drain"
	"lycheecrank.example/event"
	"lycheecrank.example/feed"
	"lycheecrank.example/fleet"
	"lycheecrank.example/frontend"
	"lycheecrank.example/intake"
	"lycheecrank.example/lock"
	"lycheecrank.example/membership"
	"lycheecrank.example/peer"
	"lycheecrank.example/pipeline"
	"lycheecrank.example/platform"
	"lycheecrank.example/preparation"
	"lycheecrank.example/quarantine"
	"lycheecrank.example/request"
	"lycheecrank.example/rollout"
	"lycheecrank.example/route"
)

// Instance is an instance on the users' platform. Set the exported fields before
// Run.
type Instance struct {
	Settings platform.Settings
	// Reload returns the current settings.
	Reload func() (platform.Settings, error)
	// SinceBoot returns the time since the machine was started, which includes
	// suspensions.
	SinceBoot func() time.Duration
	// ReloadSignal receives a signal when the settings may have changed; it may be nil.
	ReloadSignal <-chan os.Signal
	// MetricsAddress is the address at which the counters are served. If it is empty,
	// they aren't served.
	MetricsAddress string
	// HedgeShare is the share of the requests of a route that may be sent a second time
	// while the first send is late (see package hedge); 0 turns second sends off.
	HedgeShare float64
	// Divide returns the division of the site into cells, for the division so far, the
	// number of known instances and the listed servers of each pool by data centre.
	Divide func(current cell.Layout, instances int, pools map[string]map[string]int) cell.Layout
	// PlanStop returns the schedule of a shutdown that begins at a time.
	PlanStop func(at time.Time, grace time.Duration) drain.Schedule
	Logger   *event.Logger

	store *platform.Store
	// backendClient sends client requests to backend servers, stageClient sends stage
	// calls to stage servers.
	backendClient *platform.BackendClient
	stageClient   *platform.StageClient
	feeds         *feed.Table
	routes        *route.Table
	// fleet holds the entries of all backend servers.
	fleet *fleet.Table
	// ids makes the IDs of the attempts.
	ids *request.IDSource
	// serverSync is held while the server tables are synchronized with the entries.
	serverSync *lock.Ranked
	// members holds the known instances and chooses the coordinator.
	members *membership.Table
	// plainServers holds the state of the plain servers: those in pools that are
	// neither engine pools nor batch pools.
	plainServers *backend.Table
	coordinator  *preparation.Coordinator
	// division is the division of the site into cells. The coordinator of this instance
	// uses the servers of the cell of this instance.
	division   atomic.Pointer[division]
	delivery   *delivery.Router
	client     *peer.Client
	server     *peer.Server
	notices    *noticeSender
	placements *placements
	attemptLog *attemptLog
	// configurationLog writes the findings on adopted configurations.
	configurationLog *configurationLog
	// rollouts holds the rollouts of new versions, rolloutTrigger makes runRollouts check
	// them at once. badPushedAt is when bad responses last triggered heartbeats, in
	// nanoseconds since startedAt.
	rollouts       *rollout.Table
	rolloutTrigger chan struct{}
	badPushedAt    atomic.Int64
	// quarantine holds the parts of prompts that crash engines.
	quarantine  *quarantine.Table
	crashChecks *crashChecks
	// quarantineWrites holds the parts whose entries have to be written to the store.
	quarantineWrites chan string
	// wasCandidate is set if this instance was a candidate for coordinator in the last
	// round of heartbeats.
	wasCandidate atomic.Bool
	// coordinatorSince is the instant (see Instance.instant) at which this instance became
	// the coordinator of its cell, 0 if it isn't.
	coordinatorSince atomic.Int64

	startedAt time.Time
	breaks    *breakMonitor
	// registeredEra is the era of the store in which it got the entry of this instance, or
	// notRegistered.
	registeredEra atomic.Int64
	// leavingAt is the instant at which the instance began to shut down, 0 if it isn't
	// shutting down.
	leavingAt atomic.Int64
	// stopSchedule is the zero value until the instance begins to shut down.
	stopSchedule atomic.Pointer[drain.Schedule]
	// attempts holds the unanswered attempts of clients.
	attempts *drain.Table
	// openConnections is the number of connections of clients.
	openConnections atomic.Int64
	// lapseGraceUntil is the end of the period in which a removed server entry counts
	// as lapsed, as an instant. An entry lapses if it expires because its server couldn't
	// renew it while the store was unavailable; the server still gets work for a short
	// time. Any other removed entry means that the server has gone.
	lapseGraceUntil atomic.Int64
	// readFailedAt is when the last read of this instance failed because the store was
	// unavailable, reportedFailureAt the same for other instances by their replies. Both
	// are instants, 0 if no read has failed.
	readFailedAt      atomic.Int64
	reportedFailureAt atomic.Int64
	// seeds and grace are values of the newest settings: the addresses of other
	// instances that are called while too few instances are reachable, and the time in
	// nanoseconds from the start of a shutdown until the process is killed.
	seeds atomic.Pointer[[]string]
	grace atomic.Int64
	// fetchAddress holds at most one address: that of an instance that has newer
	// operator changes.
	fetchAddress chan string
	// A value in heartbeatTrigger makes runHeartbeats send the next heartbeats at once.
	// isPushPending is true if the next heartbeats go to all reachable instances.
	heartbeatTrigger chan struct{}
	isPushPending    atomic.Bool
	// allRecordsUntil is the instant until which this instance asks another one for all that
	// it knows, including removed entries of servers and what the store has lost, 0 once it has
	// got a reply. After a restart or a change of the store's era it can't know these from the
	// store alone.
	allRecordsUntil atomic.Int64
	// isFetchingRecords is true while a heartbeat that asks for records is in progress.
	isFetchingRecords atomic.Bool

	latencies histograms
	decisions *decisions
	// intake accounts for the memory and the connections of clients, frontend counts them.
	intake   *intake.Table
	frontend *frontend.Frontend

	refusals   *counter.Set
	retries    *counter.Set
	storeCalls *counter.Set
	// coordinationCounts counts events of preparations, and the heartbeats and notices
	// that were late or lost.
	coordinationCounts *counter.Set
	// rolloutCounts counts the phases of rollouts that this instance has learned of.
	rolloutCounts *counter.Set
}

// New returns an instance with the given settings that logs to out.
func New(settings platform.Settings, out io.Writer) *Instance {
	i := &Instance{
		Settings:           settings,
		Reload:             platform.ReadSettings,
		SinceBoot:          sinceBoot,
		PlanStop:           drain.NewSchedule,
		Divide:             cell.Divide,
		Logger:             event.NewBufferedLogger(out, "info", settings.Name),
		store:              platform.NewStore(settings.StoreAddress),
		backendClient:      platform.NewBackendClient(),
		stageClient:        platform.NewStageClient(),
		feeds:              feed.NewTable(),
		routes:             route.NewTable(),
		fleet:              fleet.NewTable(),
		ids:                request.NewIDSource(),
		serverSync:         lock.New(lock.RankServerSync, "server sync"),
		heartbeatTrigger:   make(chan struct{}, 1),
		fetchAddress:       make(chan string, 1),
		rollouts:           rollout.NewTable(rolloutBounds(settings), settings.Name+"/"+strconv.FormatInt(time.Now().UnixMilli(), 10)),
		rolloutTrigger:     make(chan struct{}, 1),
		quarantine:         quarantine.NewTable(),
		quarantineWrites:   make(chan string, maxQuarantineWrites),
		startedAt:          time.Now(),
		breaks:             newBreakMonitor(),
		attempts:           drain.NewTable(),
		latencies:          newHistograms(),
		refusals:           counter.NewSet("refusals"),
		retries:            counter.NewSet("retries"),
		storeCalls:         counter.NewSet("storeCalls"),
		coordinationCounts: counter.NewSet("preparation"),
		rolloutCounts:      counter.NewSet("rollouts"),
	}
	i.intake = intake.NewTable(intake.BoundsFor(intake.ProcessMemory(settings.MemoryBytes), intake.Descriptors()))
	i.intake.Logger, i.intake.Counters = i.Logger, counter.NewSet("intake")
	i.frontend = frontend.New(i.intake.Commands(), settings.Cores)
	i.members = membership.NewTable(membership.Instance{
		Name: settings.Name, Address: settings.PeerAddress, DataCentre: settings.DataCentre, EligibleSince: time.Now().UnixMilli(),
		IsPreferred: settings.Cores >= preferredCores && settings.LinkMbps >= preferredLinkMbps,
	})
	i.plainServers = backend.NewTable(i.Logger)
	i.division.Store(&division{})
	i.seeds.Store(&settings.Seeds)
	i.registeredEra.Store(notRegistered)
	i.grace.Store(int64(settings.DrainGrace))
	i.stopSchedule.Store(&drain.Schedule{})
	i.addStreams()
	i.requestAllRecords()
	i.assemble()
	return i
}

// assemble creates and connects the parts of the instance.
func (i *Instance) assemble() {
	// Entry instances don't compare incarnations, so the address is good enough.
	hello := peer.Hello{Instance: i.Settings.Name, Incarnation: i.Settings.PeerAddress, DataCentre: i.Settings.DataCentre}
	i.client = peer.NewClient(hello)
	i.client.PeerTimeout, i.client.Logger = peerReplyTimeout, i.Logger
	i.server = &peer.Server{Self: hello, PeerTimeout: peerReplyTimeout, Logger: i.Logger, Ask: i.handleCall, Track: frontend.Track}
	i.stageClient.OnLeaving, i.stageClient.OnPause = i.markLeaving, i.pauseServer
	i.stageClient.OnLoad = i.recordStageLoad
	i.coordinator = preparation.NewCoordinator()
	i.coordinator.Call, i.coordinator.ReleaseResults, i.coordinator.FreeMemory = i.stageClient.Call, i.stageClient.ReleaseResults, i.stageClient.FreeMemory
	i.coordinator.ColdShare = func() float64 { return coldShare * i.view().ReachableShare(i.ownScope(), time.Now()) }
	i.coordinator.Admit, i.coordinator.OnFirstEvent, i.coordinator.OnEnd = i.admitPrompt, i.recordBegin, i.recordAnswerEnd
	i.crashChecks = newCrashChecks(i.recordCrashes)
	i.rollouts.OnBad = i.pushBadResponse
	i.coordinator.Rollouts = i.rollouts
	i.coordinator.Logger, i.coordinator.Counters = i.Logger, i.coordinationCounts
	i.coordinator.OnPrepared, i.coordinator.OnCall = i.latencies.preparations.Record, i.latencies.stageCalls.Record
	i.placements = newPlacements()
	i.notices = newNoticeSender(i)
	i.attemptLog = newAttemptLog(i.Logger)
	i.configurationLog = newConfigurationLog(i.Logger)
	i.delivery = &delivery.Router{
		Routes:       i.routes.Queries(),
		Fleet:        i.fleet.Queries(),
		PlainServers: i.plainServers.Commands(),
		Rollouts:     i.rollouts,
		Budget:       pipeline.NewBudget(retryBudget(i.Settings)),
		Prepare:      i.prepare,
		Verdict:      i.verdict,
		OnCrash:      i.recordCrash,
		OnBreak:      i.crashChecks.add,
		OnLeaving:    i.markLeaving,
		OnPause:      i.pauseServer,
		OnLoad:       i.recordLoad,
		OnFirstEvent: i.sendStart,
		OnRunEnd:     i.sendEnd,
		Abandon:      i.sendAbandon,
		StopSchedule: func() drain.Schedule { return *i.stopSchedule.Load() },
		LastBreak:    i.lastBreak,
		Retries:      i.retries,
		Logger:       i.Logger,
	}
	i.store.OnCall = i.countStoreCall
	i.store.OnEra = func(era, previous uint64) { i.Logger.Write(event.StoreEraChanged, era, previous) }
	i.store.OnEraError = func(call, header string, era uint64) { i.Logger.Write(event.StoreEraInvalid, call, header, era) }
	i.decisions = newDecisions(i, time.Now())
	i.delivery.OnAdmission, i.coordinator.OnDecision = i.recordAdmission, i.recordPlacement
	counter.Publish("beliefs", func() any { return i.status() })
}

const (
	// preferredCores and preferredLinkMbps are the processor cores and the link speed
	// that the coordinator of a large site needs (see membership.Instance).
	preferredCores    = 0.35
	preferredLinkMbps = 50
	// peerReplyTimeout is how long a reply of another instance may be overdue before
	// its connection counts as broken. Heartbeats are answered at once; the timeout is
	// five times the longest reply time of a slow machine.
	peerReplyTimeout = 900 * time.Millisecond
	// coldShare is the part that one coordinator uses of the limit on the requests per
	// second to an engine in cold start, so that two concurrent coordinators stay
	// within the limit.
	coldShare = 0.75
	// retryRatioShare and retrySlackShare are the parts of the retry budget of all
	// instances that one instance uses. The settings give the budget as a number of
	// retries per request (the ratio) and a fixed number (the slack). Instances use
	// half of both; the other half is left for the retries of coordinators. The ratio
	// applies to the instance's own requests, and the slack is divided as if there were
	// eight instances.
	retryRatioShare = 0.5
	retrySlackShare = 1.0 / 16
	// minRetryBurst is the least number of retries that the full budget of an instance
	// allows.
	minRetryBurst = 2.0
)

// retryBudget returns how much each request adds to the retry budget of an instance,
// and the maximum of the budget.
func retryBudget(settings platform.Settings) (perRequest, burst float64) {
	return settings.RetryRatio * retryRatioShare, max(minRetryBurst, settings.RetrySlack*retrySlackShare)
}

func (i *Instance) countStoreCall(call string, status int) {
	if status == 0 {
		i.storeCalls.Add(call + ".noAnswer")
		return
	}
	i.storeCalls.Add(call + "." + formatStatus(status))
}

// leavingFor returns how long the instance has been shutting down, or 0 if it isn't
// shutting down.
func (i *Instance) leavingFor() time.Duration {
	at := i.leavingAt.Load()
	if at == 0 {
		return 0
	}
	return time.Duration(i.instant(time.Now()) - at)
}

// isLeaving reports whether the instance shuts down.
func (i *Instance) isLeaving() bool { return i.leavingAt.Load() != 0 }

// isReady reports whether the instance can serve clients: it isn't shutting down, and
// the configuration and the backend servers are known.
func (i *Instance) isReady() bool {
	return !i.isLeaving() && i.routes.Queries().Current().Version > 0 && i.fleet.Queries().Size() > 0
}

func (i *Instance) view() membership.View { return i.members.Queries().View() }

// pause waits for a duration or for the end of the context, and reports whether the
// duration has passed.
func pause(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", address)
}
