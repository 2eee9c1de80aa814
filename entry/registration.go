package entry

import (
	"context"
	"slices"
	"time"

	"lycheecrank.example/codec"
	"lycheecrank.example/event"
	"lycheecrank.example/membership"
	"lycheecrank.example/platform"
)

const (
	// registrationInterval is how often an instance checks whether its entry has to be
	// written or the entries of others have to be read.
	registrationInterval = time.Second
	// discoverInterval is how often an instance reads the entries of other instances
	// while candidates are unreachable, lonelyInterval how often while all are.
	discoverInterval = 15 * time.Second
	lonelyInterval   = 3 * time.Second
	// contactGrace is how long after its start an instance waits for contact with a seed
	// before it reads the entries of others, and, when the whole system starts for the
	// first time, before it reads any stream of the store: if all instances of a large
	// site read it at once, they use a large part of the calls of a day.
	contactGrace = 1500 * time.Millisecond
	// unregisterTimeout bounds the removal of the entry at shutdown.
	unregisterTimeout = time.Second
	// registrationTimeout bounds a read or write of entries.
	registrationTimeout = 1500 * time.Millisecond
)

// runRegistration writes the entry of this instance to the store once it is a candidate,
// and reads the entries of other instances while it lacks contact with candidates. Other
// instances learn of each other from heartbeats.
func (i *Instance) runRegistration(ctx context.Context) error {
	var discoveredAt time.Time
	pause(ctx, contactGrace)
	for ctx.Err() == nil {
		now := time.Now()
		if !i.isRegistered() && i.isCandidate(now) {
			era := i.storeEra()
			if i.register(ctx) == nil {
				i.registeredEra.Store(int64(era))
			}
		}
		if i.isDiscoveryDue(now.Sub(discoveredAt), now) && i.discover(ctx) == nil {
			discoveredAt = now
		}
		pause(ctx, registrationInterval)
	}
	return nil
}

// notRegistered is the registered era of an instance that has no entry in the store.
const notRegistered = -1

// isRegistered reports whether the store has an entry of this instance. An entry that was
// written in an earlier era may be lost.
func (i *Instance) isRegistered() bool {
	return i.registeredEra.Load() >= int64(i.storeEra())
}

// isCandidate reports whether this instance is a candidate for leader of the site or for
// coordinator of its cell.
func (i *Instance) isCandidate(now time.Time) bool {
	view := i.view()
	isSelf := func(m membership.Instance) bool { return m.Name == i.Settings.Name }
	return slices.ContainsFunc(view.Candidates(membership.Scope{}, now), isSelf) ||
		slices.ContainsFunc(view.Candidates(i.ownScope(), now), isSelf)
}

// isDiscoveryDue reports whether the entries of other instances are to be read, a given
// time after they were read last.
func (i *Instance) isDiscoveryDue(sinceLast time.Duration, now time.Time) bool {
	view := i.view()
	reachable := len(view.Reachable(now))
	if reachable == 0 {
		return sinceLast >= lonelyInterval
	}
	return reachable < len(view.Candidates(membership.Scope{}, now))-1 && sinceLast >= discoverInterval
}

// isStarting reports whether this instance has just started together with all others and
// may still get what it needs from one of them. An instance that starts alone reads the
// store at once, so that it can serve again without a delay.
func (i *Instance) isStarting(now time.Time) bool {
	return i.Settings.IsFirstStart && now.Sub(i.startedAt) < contactGrace && i.hasOtherSeeds()
}

// awaitsContact reports whether this instance has just started and has had no contact
// with another one yet. After a stop of the whole site, each instance would otherwise
// coordinate its own requests for a moment, and all of them would fill the same servers.
func (i *Instance) awaitsContact(now time.Time) bool {
	return now.Sub(i.startedAt) < contactGrace && i.view().Size() == 1 && i.hasOtherSeeds()
}

func (i *Instance) hasOtherSeeds() bool {
	return slices.ContainsFunc(*i.seeds.Load(), func(address string) bool { return address != i.Settings.PeerAddress })
}

func (i *Instance) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registrationTimeout)
	defer cancel()
	data, err := codec.Marshal(i.view().Self())
	if err != nil {
		return err
	}
	return i.store.Put(ctx, platform.InstanceStream, i.Settings.Name, data)
}

// unregister removes the entry of this instance at shutdown.
func (i *Instance) unregister(ctx context.Context) {
	if i.registeredEra.Load() == notRegistered {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, unregisterTimeout)
	defer cancel()
	if err := i.store.Put(ctx, platform.InstanceStream, i.Settings.Name, nil); err != nil {
		i.Logger.Write(event.LogUnavailable, platform.InstanceStream, err)
	}
}

func (i *Instance) discover(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registrationTimeout)
	defer cancel()
	records, _, err := i.store.Newest(ctx, platform.InstanceStream)
	if err != nil {
		return err
	}
	var known []membership.Instance
	for _, r := range records {
		var m membership.Instance
		if err := codec.Unmarshal(r.Value, &m); err != nil {
			continue
		}
		known = append(known, m)
	}
	i.members.Commands().AddKnown(known, time.Now())
	return nil
}
