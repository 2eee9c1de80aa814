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

// ownershipFollower returns the follower of the stream of terms.
func (i *Instance) ownershipFollower() *follower {
	begin := func(_ context.Context, page provider.Page) error {
		if applied := i.ownershipQueries.State().Applied(); applied+1 < page.Earliest {
			i.ownershipCommands.Reset(ownership.NewState(page.Earliest-1), time.Now())
		}
		return nil
	}
	next := func() uint64 { return i.ownershipQueries.State().Applied() + 1 }
	return i.follower(peer.OwnershipStream, begin, next, i.applyOwnership)
}

func (i *Instance) applyOwnership(records []provider.Record) error {
	received := time.Now()
	for _, r := range records {
		var record ownership.Record
		if err := codec.Unmarshal(r.Data, &record); err != nil {
			i.Logger.Write(event.LogRecordUnread, peer.OwnershipStream, r.Offset, err)
			record = ownership.Record{}
		}
		if err := i.ownershipCommands.Apply(r.Offset, record, received); err != nil {
			return err
		}
		i.recent.add(r)
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

// rights returns what this instance may dispatch to a pool. It takes no lock.
func (i *Instance) rights(pool string, now time.Time) backend.Permission {
	if !i.catalogueQueries.IsOpen(i.self.DataCentre, now) {
		return backend.Permission{}
	}
	r := i.ownershipQueries.Permission(pool, now)
	rights := backend.Permission{AllowCold: r.Cold}
	switch r.WarmShare {
	case ownership.WarmFull:
		rights.WarmLimitDivisor = 1
	case ownership.WarmHalf:
		rights.WarmLimitDivisor = 2
	}
	return rights
}

// candidates returns the instances of this data centre.
func (i *Instance) candidates() []member.Instance {
	return i.memberQueries.InDataCentre(i.self.DataCentre)
}

// hasNoWork reports whether no step of this instance is at a server of a pool.
func (i *Instance) hasNoWork(pool string) bool {
	for _, s := range i.backendQueries.Pool(pool) {
		if s.InFlight > 0 {
			return false
		}
	}
	return true
}

// keptPools returns the pools whose terms this instance may keep. Once it
// dispatches nothing new, it hands each pool over when the last step there has
// ended, so that a stream of seconds at one pool keeps no other pool without
// service.
func (i *Instance) keptPools() []string {
	pools := i.ownPools()
	if !i.handingOver.Load() {
		return pools
	}
	waiting := map[string]int{}
	for _, d := range i.dispatchQueries.Depths() {
		waiting[d.Pool] += d.Waiting
	}
	return slices.DeleteFunc(slices.Clone(pools), func(p string) bool { return waiting[p] == 0 && i.hasNoWork(p) })
}
