package instance

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheecrank.example/backend"
	"lycheecrank.example/catalogue"
	"lycheecrank.example/event"
	"lycheecrank.example/member"
	"lycheecrank.example/provider"
)

const (
	// loadInterval is the time between two load requests to a server. It must be well
	// below the age at which a load report counts as unknown.
	loadInterval = time.Second
	loadTimeout  = 800 * time.Millisecond
	// probeInterval is the time between two probe reads of the log, which detect a
	// lost connection while nothing is appended.
	probeInterval = 2 * time.Second
)

// runInstanceList announces this instance and reads the list of instances at regular
// intervals.
func (i *Instance) runInstanceList(ctx context.Context) error {
	return runEvery(ctx, listInterval, func(ctx context.Context) {
		i.announce(ctx)
		ctx, cancel := context.WithTimeout(ctx, i.Settings.Timeouts.Platform)
		defer cancel()
		list, err := i.instances.List(ctx)
		if err != nil {
			if ctx.Err() == nil {
				i.Logger.Write(event.InstanceListUnavailable, err)
			}
			return
		}
		i.applyList(list)
	})
}

// announce registers this instance in the platform's list. Errors are ignored,
// because announcements are repeated.
func (i *Instance) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, i.Settings.Timeouts.Platform)
	defer cancel()
	_ = i.instances.Announce(ctx, provider.Instance{
		Name: i.self.Instance, Incarnation: i.self.Incarnation, DataCentre: i.self.DataCentre,
		Role: provider.EntryRole, Address: i.addresses.callers, PeerAddress: i.addresses.peers,
		Leaving: i.isLeaving.Load(),
	})
}

// selfMember returns this instance as a member.
func (i *Instance) selfMember() member.Instance {
	return member.Instance{
		Name: i.self.Instance, Incarnation: i.self.Incarnation, DataCentre: i.self.DataCentre,
		Address: i.addresses.callers, PeerAddress: i.addresses.peers,
		IsLeaving: i.isLeaving.Load(), IsReachable: true,
	}
}

func (i *Instance) applyList(list []provider.Instance) {
	members := make([]member.Instance, 0, len(list))
	for _, e := range list {
		switch e.Role {
		case provider.EntryRole:
			if e.Name != i.self.Instance {
				members = append(members, memberOf(e))
			}
		case provider.BackendRole:
			i.backendCommands.SetListedLeaving(e.Name, e.Leaving)
		}
	}
	i.memberCommands.ReplaceList(append(members, i.selfMember()), time.Now())
}

func memberOf(listed provider.Instance) member.Instance {
	return member.Instance{
		Name: listed.Name, Incarnation: listed.Incarnation, DataCentre: listed.DataCentre,
		Address: listed.Address, PeerAddress: listed.PeerAddress, IsLeaving: listed.Leaving, IsReachable: true,
	}
}

// runLoadReports requests load reports at regular intervals from the servers of the pools
// that this instance dispatches for or is next in line to take over.
func (i *Instance) runLoadReports(ctx context.Context) error {
	return runEvery(ctx, loadInterval, func(ctx context.Context) {
		i.applyDataCentreState()
		var group errgroup.Group
		now := time.Now()
		for _, s := range i.backendQueries.All() {
			if !i.monitorsPool(s.Pool, now) {
				continue
			}
			group.Go(func() error {
				i.refreshLoad(ctx, s)
				return nil
			})
		}
		_ = group.Wait()
		i.dispatchCommands.WakeWorker()
	})
}

// monitorsPool reports whether this instance dispatches for a pool, or is next in line
// and needs up-to-date load reports for a takeover.
func (i *Instance) monitorsPool(pool string, now time.Time) bool {
	return i.permission(pool, now) != (backend.Permission{}) || i.ownershipQueries.IsNextCandidate(pool, i.candidates())
}

func (i *Instance) refreshLoad(ctx context.Context, server backend.Server) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	pool, _ := i.catalogueQueries.Current().Entry(catalogue.PoolKind, server.Pool)
	report, err := i.stages.Load(ctx, pool.StageKind, server.Address)
	if err == nil {
		i.backendCommands.ApplyReport(server.Name, report, time.Now())
	}
}

// runLogProbe reads the end of the catalogue's stream at regular intervals. The read
// records the contact with the log.
func (i *Instance) runLogProbe(ctx context.Context) error {
	return runEvery(ctx, probeInterval, func(ctx context.Context) {
		_, _ = i.platformLog.Read(ctx, catalogue.StreamName, i.catalogueQueries.Current().Offset+1)
	})
}
