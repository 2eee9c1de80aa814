// Package entry assembles the instance that runs on the users' platform: it
// serves clients, keeps the configuration and the list of backend servers up to
// date, stays in touch with the other instances, and prepares requests for all while it is the
// coordinator.
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
	// Reload returns the settings as they are now.
	Reload func() (platform.Settings, error)
	// SinceBoot returns the time since the machine was started, which goes on while
	// it is suspended.
	SinceBoot func() time.Duration
	// Changed announces that the settings may have changed; it may be nil.
	Changed <-chan os.Signal
	// MetricsAddress is where counters are served, empty for nowhere.
	MetricsAddress string
	Logger         *event.Logger

	store    *platform.Store
	workers  *platform.Workers
	stages   *platform.Stages
	feeds    *feed.Table
	routes   *route.Table
	fleet    *fleet.Table
	members  *membership.Table
	plain    *backend.Table
	prepared *preparation.Coordinator
	delivery *delivery.Router
	client   *peer.Client
	server   *peer.Server
	notices  *notices
	placed   *placements
	report   *report

	// leavingAt is when the instance began to shut down, in nanoseconds since the
	// Unix epoch; 0 while it does not.
	leavingAt atomic.Int64
	// awayUntil is until when entries of servers that disappear may be missing
	// because the store was away, in nanoseconds since the Unix epoch.
	awayUntil atomic.Int64
	// seeds and grace are those of the newest settings.
	seeds atomic.Pointer[[]string]
	grace atomic.Int64
	// fetches holds the address of an instance that has newer words of operators.
	fetches chan string
	// wake sends the heartbeats before their time; isPushing makes the next ones go to
	// all instances that are reached.
	wake      chan struct{}
	isPushing atomic.Bool
	// isFetching tells that another instance is being asked for records.
	isFetching atomic.Bool

	latencies histograms
	decisions *decisions

	refusals *counter.Set
	retries  *counter.Set
	calls    *counter.Set
	dropped  *counter.Set
}

// New returns an instance with the given settings that logs to out.
func New(s platform.Settings, out io.Writer) *Instance {
	i := &Instance{
		Settings:  s,
		Reload:    platform.ReadSettings,
		SinceBoot: sinceBoot,
		Logger:    event.NewBufferedLogger(out, "info", s.Name),
		store:     platform.NewStore(s.Store),
		workers:   platform.NewWorkers(),
		stages:    platform.NewStages(),
		feeds:     feed.NewTable(),
		routes:    route.NewTable(),
		fleet:     fleet.NewTable(),
		wake:      make(chan struct{}, 1),
		fetches:   make(chan string, 1),
		latencies: newHistograms(),
		refusals:  counter.NewSet("refusals"),
		retries:   counter.NewSet("retries"),
		calls:     counter.NewSet("storeCalls"),
		dropped:   counter.NewSet("preparation"),
	}
	i.members = membership.NewTable(membership.Instance{
		Name: s.Name, Address: s.Peers, DataCentre: s.DataCentre, FitSince: time.Now().UnixMilli(),
		IsStrong: s.Cores >= strongCores && s.LinkMbps >= strongLink,
	})
	i.plain = backend.NewTable(i.Logger)
	i.seeds.Store(&s.Seeds)
	i.grace.Store(int64(s.DrainGrace))
	i.feeds.AddStream(platform.Servers, platform.IsSameServer)
	i.assemble()
	return i
}

// assemble connects the parts.
func (i *Instance) assemble() {
	hello := peer.Hello{Instance: i.Settings.Name, Incarnation: i.Settings.Peers, DataCentre: i.Settings.DataCentre}
	i.client = peer.NewClient(hello)
	i.client.PeerTimeout, i.client.Logger = silenceLimit, i.Logger
	i.server = &peer.Server{Self: hello, PeerTimeout: silenceLimit, Logger: i.Logger, Ask: i.answer}
	i.prepared = preparation.NewCoordinator()
	i.prepared.Call, i.prepared.ReleaseResults, i.prepared.FreeMemory = i.stages.Call, i.stages.Free, i.stages.Room
	i.prepared.ColdShare = func() float64 { return coldShare * i.members.Queries().View().Share(time.Now()) }
	i.prepared.Logger, i.prepared.Counters = i.Logger, i.dropped
	i.prepared.OnPrepared, i.prepared.OnCall = i.latencies.preparations.Record, i.latencies.calls.Record
	i.placed = newPlacements()
	i.notices = newNotices(i)
	i.report = newReport(i.Logger)
	i.delivery = &delivery.Router{
		Routes:       i.routes.Queries(),
		Fleet:        i.fleet.Queries(),
		PlainServers: i.plain.Commands(),
		Budget:       pipeline.NewBudget(budgetOf(i.Settings)),
		Prepare:      i.prepare,
		OnFirstEvent: i.started,
		OnRunEnd:     i.ended,
		Abandon:      i.abandon,
		IsLeaving:    func() bool { return i.leavingFor() > refuseStreamsAfter },
		Retries:      i.retries,
		Logger:       i.Logger,
	}
	i.store.Count = i.countCall
	i.decisions = newDecisions(i, time.Now())
	i.delivery.OnAdmission, i.prepared.OnDecision = i.recordAdmission, i.recordPlacement
	counter.Publish("beliefs", func() any { return i.beliefs() })
}

const (
	// strongCores and strongLink are what the coordinator of a large site needs.
	strongCores = 0.35
	strongLink  = 50
	// silenceLimit is how long another instance may owe an answer before its
	// connection counts as dead. Beats are answered at once; a slow machine gets
	// five times as much as it needs at its worst.
	silenceLimit = 900 * time.Millisecond
	// coldShare is the part of the bound of cold engines that a coordinator uses, so
	// that two of them at a time stay within it.
	coldShare = 0.75
	// budgetShare and slackShare are the parts of the common retry budget that an
	// instance uses: the ratio holds for its own requests, of the slack it gets the
	// part of one in eight instances. Half is left for the coordinators' retries.
	budgetShare = 0.5
	slackShare  = 1.0 / 16
	minBurst    = 2.0
)

// budgetOf returns what each request adds to the retry budget of an instance, and
// how much is saved up at most.
func budgetOf(s platform.Settings) (perRequest, burst float64) {
	return s.RetryRatio * budgetShare, max(minBurst, s.RetrySlack*slackShare)
}

func (i *Instance) countCall(call string, status int) {
	if status == 0 {
		i.calls.Add(call + ".noAnswer")
		return
	}
	i.calls.Add(call + "." + statusText(status))
}

// leavingFor returns how long the instance has been shutting down, 0 if it isn't.
func (i *Instance) leavingFor() time.Duration {
	at := i.leavingAt.Load()
	if at == 0 {
		return 0
	}
	return time.Since(time.Unix(0, at))
}

// isLeaving reports whether the instance shuts down.
func (i *Instance) isLeaving() bool { return i.leavingAt.Load() != 0 }

// isReady reports whether clients may be sent here: the configuration and the
// backend servers are known.
func (i *Instance) isReady() bool {
	return !i.isLeaving() && i.routes.Queries().Current().Version > 0 && i.fleet.Queries().Size() > 0
}

func (i *Instance) view() membership.View { return i.members.Queries().View() }

// pause waits until the time is over or the context has ended, and reports
// whether the context goes on.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
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
