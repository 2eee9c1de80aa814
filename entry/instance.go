// Package entry assembles the instance that runs on the users' platform. The instance
// serves clients, keeps the configuration and the list of backend servers up to date,
// and exchanges heartbeats with the other instances. While it is the coordinator, it
// prepares requests for all instances.
package entry

import (
	"context"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"lycheecrank.example/backend"
	"lycheecrank.example/counter"
	"lycheecrank.example/delivery"
	"lycheecrank.example/event"
	"lycheecrank.example/feed"
	"lycheecrank.example/fleet"
	"lycheecrank.example/membership"
	"lycheecrank.example/peer"
	"lycheecrank.example/pipeline"
	"lycheecrank.example/platform"
	"lycheecrank.example/preparation"
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
	Logger         *event.Logger

	store        *platform.Store
	workers      *platform.BackendClient
	stages       *platform.StageClient
	feeds        *feed.Table
	routes       *route.Table
	fleet        *fleet.Table
	members      *membership.Table
	plainServers *backend.Table
	coordinator  *preparation.Coordinator
	delivery     *delivery.Router
	client       *peer.Client
	server       *peer.Server
	notices      *notices
	placements   *placements
	attemptLog   *attemptLog

	// leavingAt is when the instance began to shut down, in nanoseconds since the Unix
	// epoch; 0 if it isn't shutting down.
	leavingAt atomic.Int64
	// lapseGraceUntil is the end of the period in which a removed server entry counts
	// as lapsed because the store was unavailable, in nanoseconds since the Unix epoch.
	lapseGraceUntil atomic.Int64
	// seeds and grace are values of the newest settings.
	seeds atomic.Pointer[[]string]
	grace atomic.Int64
	// fetchAddresses holds the address of an instance that has newer operator changes.
	fetchAddresses chan string
	// heartbeatTrigger has the next heartbeats sent at once; isPushPending has them
	// sent to all reachable instances.
	heartbeatTrigger chan struct{}
	isPushPending    atomic.Bool
	// isFetchingRecords is true while a heartbeat that asks for records is in progress.
	isFetchingRecords atomic.Bool

	latencies histograms
	decisions *decisions

	refusals          *counter.Set
	retries           *counter.Set
	storeCalls        *counter.Set
	preparationCounts *counter.Set
}

// New returns an instance with the given settings that logs to out.
func New(settings platform.Settings, out io.Writer) *Instance {
	i := &Instance{
		Settings:          settings,
		Reload:            platform.ReadSettings,
		SinceBoot:         sinceBoot,
		Logger:            event.NewBufferedLogger(out, "info", settings.Name),
		store:             platform.NewStore(settings.StoreAddress),
		workers:           platform.NewBackendClient(),
		stages:            platform.NewStageClient(),
		feeds:             feed.NewTable(),
		routes:            route.NewTable(),
		fleet:             fleet.NewTable(),
		heartbeatTrigger:  make(chan struct{}, 1),
		fetchAddresses:    make(chan string, 1),
		latencies:         newHistograms(),
		refusals:          counter.NewSet("refusals"),
		retries:           counter.NewSet("retries"),
		storeCalls:        counter.NewSet("storeCalls"),
		preparationCounts: counter.NewSet("preparation"),
	}
	i.members = membership.NewTable(membership.Instance{
		Name: settings.Name, Address: settings.PeerAddress, DataCentre: settings.DataCentre, EligibleSince: time.Now().UnixMilli(),
		IsPreferred: settings.Cores >= preferredCores && settings.LinkMbps >= preferredLinkMbps,
	})
	i.plainServers = backend.NewTable(i.Logger)
	i.seeds.Store(&settings.Seeds)
	i.grace.Store(int64(settings.DrainGrace))
	i.feeds.AddStream(platform.ServerStream, platform.IsSameServer)
	i.assemble()
	return i
}

// assemble creates and connects the parts of the instance.
func (i *Instance) assemble() {
	hello := peer.Hello{Instance: i.Settings.Name, Incarnation: i.Settings.PeerAddress, DataCentre: i.Settings.DataCentre}
	i.client = peer.NewClient(hello)
	i.client.PeerTimeout, i.client.Logger = peerReplyTimeout, i.Logger
	i.server = &peer.Server{Self: hello, PeerTimeout: peerReplyTimeout, Logger: i.Logger, Ask: i.handleCall}
	i.coordinator = preparation.NewCoordinator()
	i.coordinator.Call, i.coordinator.ReleaseResults, i.coordinator.FreeMemory = i.stages.Call, i.stages.ReleaseResults, i.stages.FreeMemory
	i.coordinator.ColdShare = func() float64 { return coldShare * i.members.Queries().View().ReachableShare(time.Now()) }
	i.coordinator.Logger, i.coordinator.Counters = i.Logger, i.preparationCounts
	i.coordinator.OnPrepared, i.coordinator.OnCall = i.latencies.preparations.Record, i.latencies.stageCalls.Record
	i.placements = newPlacements()
	i.notices = newNotices(i)
	i.attemptLog = newAttemptLog(i.Logger)
	i.delivery = &delivery.Router{
		Routes:       i.routes.Queries(),
		Fleet:        i.fleet.Queries(),
		PlainServers: i.plainServers.Commands(),
		Budget:       pipeline.NewBudget(retryBudget(i.Settings)),
		Prepare:      i.prepare,
		OnFirstEvent: i.sendStart,
		OnRunEnd:     i.sendEnd,
		Abandon:      i.sendAbandon,
		IsLeaving:    func() bool { return i.leavingFor() > refuseStreamsAfter },
		Retries:      i.retries,
		Logger:       i.Logger,
	}
	i.store.OnCall = i.countStoreCall
	i.decisions = newDecisions(i, time.Now())
	i.delivery.OnAdmission, i.coordinator.OnDecision = i.recordAdmission, i.recordPlacement
	counter.Publish("beliefs", func() any { return i.status() })
}

const (
	// preferredCores and preferredLinkMbps are the processor cores and the link speed
	// that the coordinator of a large site needs.
	preferredCores    = 0.35
	preferredLinkMbps = 50
	// peerReplyTimeout is how long a reply of another instance may be overdue before
	// its connection counts as broken. Heartbeats are answered at once; the timeout is
	// five times the longest reply time of a slow machine.
	peerReplyTimeout = 900 * time.Millisecond
	// coldShare is the part of the limit for cold engines that one coordinator uses, so
	// that two concurrent coordinators stay within the limit.
	coldShare = 0.75
	// retryRatioShare and retrySlackShare are the parts of the common retry budget that
	// an instance uses. The ratio applies to its own requests; of the slack, it gets
	// the share of one in eight instances. Half of the budget is left for the retries
	// of coordinators.
	retryRatioShare = 0.5
	retrySlackShare = 1.0 / 16
	minRetryBurst   = 2.0
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
	return time.Since(time.Unix(0, at))
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
