package entry

import (
	"context"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheecrank.example/backend"
	"lycheecrank.example/batch"
	"lycheecrank.example/engine"
	"lycheecrank.example/event"
	"lycheecrank.example/feed"
	"lycheecrank.example/fleet"
	"lycheecrank.example/platform"
	"lycheecrank.example/route"
)

// applyRecords updates the tables of the instance from new records of a stream. It runs
// under the lock of the feed table and does no I/O.
func (i *Instance) applyRecords(stream string, records []feed.Record) {
	now := time.Now()
	var changes []fleet.Change
	for _, r := range records {
		if stream == platform.OperatorStream {
			i.applyOperatorRecord(r)
			continue
		}
		if c, ok := i.serverChange(r, now); ok {
			changes = append(changes, c)
		}
	}
	i.fleet.Commands().Apply(changes)
	i.updatePlainServers(changes, now)
	i.syncServers(now)
}

func (i *Instance) applyOperatorRecord(record feed.Record) {
	if dataCentre, ok := strings.CutPrefix(record.Key, platform.EvacuationPrefix); ok {
		i.fleet.Commands().SetEvacuated(dataCentre, !record.IsRemoved)
		i.Logger.Write(event.EvacuationChanged, dataCentre, !record.IsRemoved, record.Offset)
		return
	}
	if strings.HasPrefix(record.Key, platform.RolloutPrefix) {
		i.applyRolloutRecord(record)
		return
	}
	if record.Key != platform.ConfigurationKey || record.IsRemoved {
		return
	}
	c, err := platform.DecodeConfiguration(record.Value)
	if err != nil {
		i.Logger.Write(event.LogRecordUnreadable, platform.OperatorStream, record.Offset, err)
		return
	}
	if i.routes.Commands().Apply(c) {
		i.Logger.Write(event.ConfigurationApplied, c.Version, record.Offset, len(c.Pools()))
		i.configurationLog.add(c.Version, record.Value)
	}
}

// serverChange returns the change that a record makes to the server list, or false if
// the value of the record is malformed.
func (i *Instance) serverChange(record feed.Record, now time.Time) (fleet.Change, bool) {
	if record.IsRemoved {
		return i.serverRemoval(record.Key, now), true
	}
	server, err := platform.DecodeServer(record.Key, record.Value, record.Position(), now)
	if err != nil {
		i.Logger.Write(event.LogRecordUnreadable, platform.ServerStream, record.Offset, err)
		return fleet.Change{}, false
	}
	old, _ := i.fleet.Queries().Server(server.ID, now)
	if old.ID == "" || old.IsDraining != server.IsDraining || old.Address != server.Address || old.StartedUnixMilli != server.StartedUnixMilli {
		i.Logger.Write(event.ServerListed, server.ID, server.Pool, server.Address, server.DataCentre, server.IsDraining, record.Offset, server.StartedUnixMilli)
	}
	return fleet.Change{Server: server}, true
}

// updatePlainServers updates the table of plain servers with the states in the changed
// server entries.
func (i *Instance) updatePlainServers(changes []fleet.Change, now time.Time) {
	for _, c := range changes {
		if s := c.Server; !c.IsRemoved && c.LapsedAt.IsZero() {
			i.plainServers.Commands().ApplyReport(s.ID, backend.Report{
				Incarnation: incarnation(s), Cold: s.IsCold(now), Leaving: s.IsDraining, MeasuredAt: now,
			}, now)
		}
	}
}

func incarnation(server fleet.Server) string {
	return server.ID + "/" + time.UnixMilli(server.StartedUnixMilli).UTC().Format(time.RFC3339Nano)
}

// serverRemoval returns the change for a removed server entry. Shortly after the store
// was unavailable, the removal counts as a lapse (see Instance.lapseGraceUntil): the
// entry may have expired although the server still runs.
func (i *Instance) serverRemoval(id string, now time.Time) fleet.Change {
	isLapse := i.instant(now) < i.lapseGraceUntil.Load()
	i.Logger.Write(event.ServerUnlisted, id, isLapse)
	change := fleet.Change{Server: fleet.Server{ID: id}, IsRemoved: !isLapse}
	if isLapse {
		change.LapsedAt = now
	}
	return change
}

// syncInterval is how often the server tables are synchronized for changes that need no
// new record, such as the end of the time in which the server of a lapsed entry still
// gets work.
const syncInterval = 500 * time.Millisecond

func (i *Instance) runServerSync(ctx context.Context) error {
	for pause(ctx, syncInterval) {
		i.removeKept()
		i.syncServers(time.Now())
	}
	return nil
}

// syncServers sets the usable servers in the engine, batch and plain server tables
// according to the configuration, the server entries and the evacuated data centres.
// The engine and batch tables get the servers of the cell of this instance. Only one call
// runs at a time: otherwise one that has read the entries before a change could set its
// servers after one that has seen the change.
func (i *Instance) syncServers(now time.Time) {
	i.serverSync.Lock()
	defer i.serverSync.Unlock()
	configuration := i.routes.Queries().Current()
	usable := i.fleet.Queries().Usable(now)
	i.setVersions(configuration, usable, now)
	layout := i.updateDivision(configuration.Pools(), usable).layout
	own := layout.Of(i.Settings.DataCentre)
	var plain []backend.Spec
	for _, p := range configuration.Pools() {
		servers := usable[p.Name]
		switch {
		case p.Engine != nil:
			i.coordinator.Engines.Commands().SetPool(engineSpec(p), enginePlaces(i.withoutReplaced(inCell(servers, layout, own))))
		case p.Batch != nil:
			i.coordinator.Batches.Commands().SetPool(batchSpec(p), i.batchPlaces(inCell(servers, layout, own), now))
		default:
			for _, s := range servers {
				plain = append(plain, plainSpec(s, p, i.coldLimit(p, s.ID, now), i.fleet.Queries().PauseEnd(s.Process())))
			}
		}
	}
	i.plainServers.Commands().Sync(plain, now)
}

func engineSpec(pool route.Pool) engine.Spec {
	return engine.Spec{
		Pool: pool.Name, Slots: pool.Engine.Slots, MemoryTokens: pool.Engine.MemoryTokens,
		ColdRequestsPerSecond: pool.ColdRequestsPerSecond,
	}
}

func enginePlaces(servers []fleet.Server) []engine.Endpoint {
	places := make([]engine.Endpoint, 0, len(servers))
	for _, s := range servers {
		places = append(places, engine.Endpoint{ID: s.ID, Address: s.Address, DataCentre: s.DataCentre, StartedUnixMilli: s.StartedUnixMilli})
	}
	return places
}

func batchSpec(pool route.Pool) batch.Spec {
	return batch.Spec{
		Pool: pool.Name, Slots: pool.Batch.Slots, MaxPieces: pool.Batch.MaxPieces, CallTime: pool.Batch.CallTime,
		ItemTime: pool.Batch.PieceTime, ResultMemoryBytes: pool.Batch.ResultMemoryBytes, ResultLifetime: pool.Batch.ResultLifetime,
	}
}

func (i *Instance) batchPlaces(servers []fleet.Server, now time.Time) []batch.Endpoint {
	places := make([]batch.Endpoint, 0, len(servers))
	for _, s := range servers {
		isTrial := i.rollouts.Queries().IsTrial(s.Pool, s.ID, now)
		if isTrial || i.serves(s, now) {
			places = append(places, batch.Endpoint{ID: s.ID, Address: s.Address, DataCentre: s.DataCentre, StartedUnixMilli: s.StartedUnixMilli, IsTrial: isTrial})
		}
	}
	return places
}

const (
	// lowestRank exceeds the rank of every class, so that plain servers accept all
	// classes.
	lowestRank = 1 << 20
	// queuedPerServer is the number of requests that an instance sends to a plain server
	// in excess of the server's slots. The servers queue a few requests, and other
	// instances send requests as well.
	queuedPerServer = 2
)

// coldLimit returns the share of this instance of the limit for a server in cold start. In
// the settling time of the instance, the number of instances isn't known yet.
func (i *Instance) coldLimit(pool route.Pool, server string, now time.Time) backend.ColdLimit {
	limit := backend.ColdLimit{RequestsPerSecond: pool.ColdRequestsPerSecond}
	if limit.RequestsPerSecond <= 0 || now.Sub(i.startedAt) < settlingTime {
		return limit
	}
	view := i.view()
	limit.Instances = view.Size()
	// The order begins with another instance for each server: a cold start may be too short
	// for a turn of each instance.
	limit.Position = int((uint64(view.Position()) + xxhash.Sum64String(server)%uint64(limit.Instances)) % uint64(limit.Instances))
	return limit
}

func plainSpec(server fleet.Server, pool route.Pool, limit backend.ColdLimit, pausedUntil time.Time) backend.Spec {
	return backend.Spec{
		ColdLimit: limit, ColdUntil: server.ColdUntil, ColdTime: pool.ColdTime,
		Name: server.ID, Pool: server.Pool, DataCentre: server.DataCentre, Address: server.Address,
		LowestRank: lowestRank, MaxInFlight: server.Slots + queuedPerServer, ColdInFlight: server.Slots, PausedUntil: pausedUntil,
	}
}
