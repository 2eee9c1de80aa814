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
	// loadInterval is how often the owner of a pool asks its servers for their
	// load. It must stay well below the age at which a report counts as unknown.
	loadInterval = time.Second
	loadTimeout  = 800 * time.Millisecond
	// probeInterval is how often the log is read without need, so that a cut is
	// noticed while nothing is appended.
	probeInterval = 2 * time.Second
)

// runList keeps the list of instances and this instance's entry in it.
func (i *Instance) runList(ctx context.Context) error {
	return every(ctx, listInterval, func(ctx context.Context) {
		i.announce(ctx)
		ctx, cancel := context.WithTimeout(ctx, i.Settings.Timeouts.Platform)
		defer cancel()
		list, err := i.instances.List(ctx)
		if err != nil {
			if ctx.Err() == nil {
				i.Logger.Write(event.ListUnavailable, err)
			}
			return
		}
		i.takeList(list)
	})
}

// announce enters this instance into the list; the next time makes up for one
// that fails.
func (i *Instance) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, i.Settings.Timeouts.Platform)
	defer cancel()
	_ = i.instances.Announce(ctx, provider.Instance{
		Name: i.self.Instance, Incarnation: i.self.Incarnation, DataCentre: i.self.DataCentre,
		Role: provider.EntryRole, Address: i.addresses.callers, PeerAddress: i.addresses.peers,
		Leaving: i.leaving.Load(),
	})
}

// asMember returns this instance as a member.
func (i *Instance) asMember() member.Instance {
	return member.Instance{
		Name: i.self.Instance, Incarnation: i.self.Incarnation, DataCentre: i.self.DataCentre,
		Address: i.addresses.callers, PeerAddress: i.addresses.peers,
		Leaving: i.leaving.Load(), Reachable: true,
	}
}

func (i *Instance) takeList(list []provider.Instance) {
	members := make([]member.Instance, 0, len(list))
	for _, e := range list {
		switch e.Role {
		case provider.EntryRole:
			if e.Name != i.self.Instance {
				members = append(members, asMember(e))
			}
		case provider.BackendRole:
			i.backendCommands.SetListedLeaving(e.Name, e.Leaving)
		}
	}
	i.memberCommands.ReplaceList(append(members, i.asMember()), time.Now())
}

func asMember(e provider.Instance) member.Instance {
	return member.Instance{
		Name: e.Name, Incarnation: e.Incarnation, DataCentre: e.DataCentre,
		Address: e.Address, PeerAddress: e.PeerAddress, Leaving: e.Leaving, Reachable: true,
	}
}

// runLoad asks the servers of the pools that this instance dispatches for, or
// would take over next.
func (i *Instance) runLoad(ctx context.Context) error {
	return every(ctx, loadInterval, func(ctx context.Context) {
		i.followOpen()
		var group errgroup.Group
		now := time.Now()
		for _, s := range i.backendQueries.All() {
			if !i.watchesPool(s.Pool, now) {
				continue
			}
			group.Go(func() error {
				i.askLoad(ctx, s)
				return nil
			})
		}
		_ = group.Wait()
		i.dispatchCommands.WakeWorker()
	})
}

// watchesPool reports whether this instance dispatches for a pool, or is the
// next one to do so and must know its servers then.
func (i *Instance) watchesPool(pool string, now time.Time) bool {
	return i.rights(pool, now) != (backend.Permission{}) || i.ownershipQueries.IsNextCandidate(pool, i.candidates())
}

func (i *Instance) askLoad(ctx context.Context, s backend.Server) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	pool, _ := i.catalogueQueries.Current().Entry(catalogue.PoolKind, s.Pool)
	report, err := i.stages.Load(ctx, pool.StageKind, s.Address)
	if err == nil {
		i.backendCommands.ApplyReport(s.Name, report, time.Now())
	}
}

// runProbe reads the end of the catalogue's stream.
func (i *Instance) runProbe(ctx context.Context) error {
	return every(ctx, probeInterval, func(ctx context.Context) {
		_, _ = i.platformLog.Read(ctx, catalogue.StreamName, i.catalogueQueries.Current().Offset+1)
	})
}
