package instance

import (
	"context"
	"slices"
	"time"

	"lycheecrank.example/backend"
	"lycheecrank.example/codec"
	"lycheecrank.example/event"
	"lycheecrank.example/member"
	"lycheecrank.example/ownership"
	"lycheecrank.example/peer"
	"lycheecrank.example/provider"
)

// ownershipFollower returns the follower of the stream of ownership records.
func (i *Instance) ownershipFollower() *follower {
	initialize := func(_ context.Context, page provider.Page) error {
		if applied := i.ownershipQueries.State().Applied(); applied+1 < page.Earliest {
			i.ownershipCommands.Reset(ownership.NewState(page.Earliest-1), time.Now())
		}
		return nil
	}
	nextOffset := func() uint64 { return i.ownershipQueries.State().Applied() + 1 }
	return i.follower(peer.OwnershipStream, initialize, nextOffset, i.applyOwnership)
}

func (i *Instance) applyOwnership(records []provider.Record) error {
	receivedAt := time.Now()
	for _, r := range records {
		var record ownership.Record
		if err := codec.Unmarshal(r.Data, &record); err != nil {
			i.Logger.Write(event.LogRecordUnreadable, peer.OwnershipStream, r.Offset, err)
			record = ownership.Record{}
		}
		if err := i.ownershipCommands.Apply(r.Offset, record, receivedAt); err != nil {
			return err
		}
		i.recentOwnership.add(r)
	}
	return nil
}

func (i *Instance) appendOwnership(ctx context.Context, records ...ownership.Record) error {
	data, err := codec.MarshalAll(records)
	if err != nil {
		return err
	}
	_, err = i.platformLog.Append(ctx, peer.OwnershipStream, data...)
	return err
}

// permission returns the permission of this instance to dispatch to a pool. Only the
// owner of the pool with a valid lease may use cold servers; the limits of warm servers
// apply in full, by half, or the servers get no steps. It must acquire no lock, because
// the dispatch table also calls it while it is locked, and the locks of the catalogue and
// of the ownerships rank below that of the dispatch table.
func (i *Instance) permission(pool string, now time.Time) backend.Permission {
	if !i.catalogueQueries.IsOpen(i.self.DataCentre, now) {
		return backend.Permission{}
	}
	granted := i.ownershipQueries.Permission(pool, now)
	permission := backend.Permission{AllowCold: granted.Cold, ProbesCold: granted.Cold}
	switch granted.WarmShare {
	case ownership.WarmFull:
		permission.WarmLimitDivisor = 1
	case ownership.WarmHalf:
		permission.WarmLimitDivisor = 2
	}
	return permission
}

// candidates returns the instances of this data centre.
func (i *Instance) candidates() []member.Instance {
	return i.memberQueries.InDataCentre(i.self.DataCentre)
}

// hasNoWork reports whether no step of this instance is in flight at a server of a
// pool.
func (i *Instance) hasNoWork(pool string) bool {
	for _, s := range i.backendQueries.Pool(pool) {
		if s.InFlight > 0 {
			return false
		}
	}
	return true
}

// retainedPools returns the pools whose ownership this instance may keep. While it hands
// its pools over, it releases each one as soon as no step waits or runs there, so that
// a streamed answer that takes several seconds at one pool doesn't leave other pools
// without service.
func (i *Instance) retainedPools() []string {
	pools := i.ownPools()
	if !i.isHandingOver.Load() {
		return pools
	}
	waiting := map[string]int{}
	for _, d := range i.dispatchQueries.Depths() {
		waiting[d.Pool] += d.Waiting
	}
	return slices.DeleteFunc(slices.Clone(pools), func(pool string) bool { return waiting[pool] == 0 && i.hasNoWork(pool) })
}
