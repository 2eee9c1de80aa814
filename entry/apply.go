package entry

import (
	"context"
	"strings"
	"time"

	"lycheecrank.example/backend"
	"lycheecrank.example/batch"
	"lycheecrank.example/engine"
	"lycheecrank.example/event"
	"lycheecrank.example/feed"
	"lycheecrank.example/fleet"
	"lycheecrank.example/platform"
	"lycheecrank.example/route"
)

// apply puts new records of a stream in force. It runs under the lock of the
// feeds and does no I/O.
func (i *Instance) apply(stream string, records []feed.Record) {
	now := time.Now()
	var changes []fleet.Change
	for _, r := range records {
		if stream == platform.Operators {
			i.applyOperators(r)
			continue
		}
		if c, ok := i.changeOf(r, now); ok {
			changes = append(changes, c)
		}
	}
	i.fleet.Commands().Apply(changes)
	i.reportPlain(changes, now)
	i.sync(now)
}

func (i *Instance) applyOperators(r feed.Record) {
	if dataCentre, ok := strings.CutPrefix(r.Key, platform.EvacuationPrefix); ok {
		i.fleet.Commands().SetEvacuated(dataCentre, !r.IsRemoved)
		i.Logger.Write(event.EvacuationChanged, dataCentre, !r.IsRemoved, r.Offset)
		return
	}
	if r.Key != platform.ConfigurationKey || r.IsRemoved {
		return
	}
	c, err := platform.DecodeConfiguration(r.Value)
	if err != nil {
		i.Logger.Write(event.LogRecordUnreadable, platform.Operators, r.Offset, err)
		return
	}
	if i.routes.Commands().Apply(c) {
		i.Logger.Write(event.ConfigurationApplied, c.Version, r.Offset, len(c.Pools()))
	}
}

// changeOf returns what a record changes in the list of servers.
func (i *Instance) changeOf(r feed.Record, now time.Time) (fleet.Change, bool) {
	if r.IsRemoved {
		return i.removal(r.Key, now), true
	}
	s, err := platform.DecodeServer(r.Key, r.Value, r.Offset, now)
	if err != nil {
		i.Logger.Write(event.LogRecordUnreadable, platform.Servers, r.Offset, err)
		return fleet.Change{}, false
	}
	old, _ := i.fleet.Queries().Server(s.ID, now)
	if old.ID == "" || old.IsDraining != s.IsDraining || old.Address != s.Address || old.StartedUnixMilli != s.StartedUnixMilli {
		i.Logger.Write(event.ServerListed, s.ID, s.Pool, s.Address, s.DataCentre, s.IsDraining, r.Offset)
	}
	return fleet.Change{Server: s}, true
}

// reportPlain tells the table of plain servers what their entries say.
func (i *Instance) reportPlain(changes []fleet.Change, now time.Time) {
	for _, c := range changes {
		if s := c.Server; !c.IsRemoved && c.LapsedAt.IsZero() {
			i.plain.Commands().ApplyReport(s.ID, backend.Report{
				Incarnation: incarnation(s), Cold: s.IsCold(now), Leaving: s.IsDraining, MeasuredAt: now,
			}, now)
		}
	}
}

func incarnation(s fleet.Server) string {
	return s.ID + "/" + time.UnixMilli(s.StartedUnixMilli).UTC().Format(time.RFC3339Nano)
}

// removal is the end of a server's entry. If the store was away lately, it may have
// lapsed though the server lives.
func (i *Instance) removal(id string, now time.Time) fleet.Change {
	isLapse := now.UnixNano() < i.awayUntil.Load()
	i.Logger.Write(event.ServerUnlisted, id, isLapse)
	c := fleet.Change{Server: fleet.Server{ID: id}, IsRemoved: !isLapse}
	if isLapse {
		c.LapsedAt = now
	}
	return c
}

// syncInterval is how often the tables of servers are brought in line, for what
// changes by time alone.
const syncInterval = 500 * time.Millisecond

func (i *Instance) runSync(ctx context.Context) error {
	for pause(ctx, syncInterval) {
		i.sync(time.Now())
	}
	return nil
}

// sync brings the servers that may get work in line with the configuration, the
// entries and the evacuated data centres.
func (i *Instance) sync(now time.Time) {
	c := i.routes.Queries().Current()
	usable := i.fleet.Queries().Usable(now)
	var plain []backend.Spec
	for _, p := range c.Pools() {
		servers := usable[p.Name]
		switch {
		case p.Engine != nil:
			i.prepared.Engines.Commands().SetPool(engineSpec(p), enginePlaces(servers))
		case p.Batch != nil:
			i.prepared.Batches.Commands().SetPool(batchSpec(p), batchPlaces(servers))
		default:
			for _, s := range servers {
				plain = append(plain, plainSpec(s))
			}
		}
	}
	i.plain.Commands().Sync(plain, now)
}

func engineSpec(p route.Pool) engine.Spec {
	return engine.Spec{
		Pool: p.Name, Slots: p.Engine.Slots, MemoryTokens: p.Engine.MemoryTokens,
		ColdPerSecond: p.ColdRequestsPerSecond,
	}
}

func enginePlaces(servers []fleet.Server) []engine.Place {
	places := make([]engine.Place, 0, len(servers))
	for _, s := range servers {
		places = append(places, engine.Place{ID: s.ID, Address: s.Address, DataCentre: s.DataCentre, Born: s.StartedUnixMilli})
	}
	return places
}

func batchSpec(p route.Pool) batch.Spec {
	return batch.Spec{
		Pool: p.Name, Slots: p.Batch.Slots, Size: p.Batch.MaxPieces, CallTime: p.Batch.CallTime,
		ItemTime: p.Batch.PieceTime, Room: p.Batch.ResultMemoryBytes, Life: p.Batch.ResultLifetime,
	}
}

func batchPlaces(servers []fleet.Server) []batch.Place {
	places := make([]batch.Place, 0, len(servers))
	for _, s := range servers {
		places = append(places, batch.Place{ID: s.ID, Address: s.Address, DataCentre: s.DataCentre})
	}
	return places
}

const (
	// lowestRank lets plain services serve all classes.
	lowestRank = 1 << 20
	// queueShare is how many requests an instance sends to a plain server beyond its
	// slots: the servers queue a few, and other instances send as well.
	queueShare = 2
)

func plainSpec(s fleet.Server) backend.Spec {
	return backend.Spec{
		Name: s.ID, Pool: s.Pool, DataCentre: s.DataCentre, Address: s.Address,
		LowestRank: lowestRank, MaxInFlight: s.Slots + queueShare, ColdInFlight: s.Slots,
	}
}
