package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"lycheecrank.example/backend"
	"lycheecrank.example/catalogue"
	"lycheecrank.example/codec"
	"lycheecrank.example/event"
	"lycheecrank.example/provider"
)

// snapshotPolicy says when an instance appends a snapshot of the catalogue.
type snapshotPolicy struct {
	// records and age are how many records, or how much time, may follow the
	// latest snapshot.
	records uint64
	age     time.Duration
	// check is the time between two looks. It is spread by a random part of the
	// same length, so that instances rarely append the same snapshot. Doing it
	// twice is harmless.
	check time.Duration
}

// defaultSnapshots allows a quarter of the shortest retention of 1 h, so that a
// snapshot is there before records expire.
func defaultSnapshots() snapshotPolicy {
	return snapshotPolicy{records: 1000, age: 15 * time.Minute, check: 20 * time.Second}
}

// catalogueFollower returns the follower of the catalogue's stream.
func (i *Instance) catalogueFollower() *follower {
	return i.follower(catalogue.StreamName, i.replayCatalogue, func() uint64 {
		return i.catalogueQueries.Current().Offset + 1
	}, func(records []provider.Record) error {
		return i.applyCatalogue(records, "log")
	})
}

// replayCatalogue builds the catalogue from all retained records.
func (i *Instance) replayCatalogue(ctx context.Context, page provider.Page) error {
	var numbered []catalogue.NumberedRecord
	snapshotAt := uint64(0)
	for {
		for _, r := range page.Records {
			record := i.decodeCatalogue(r)
			if record.Snapshot != nil {
				snapshotAt = r.Offset
			}
			numbered = append(numbered, catalogue.NumberedRecord{Offset: r.Offset, Record: record})
		}
		read := page.Earliest + uint64(len(numbered))
		if read >= page.Next {
			break
		}
		next, err := i.platformLog.Read(ctx, catalogue.StreamName, read)
		if err != nil {
			return err
		}
		if len(next.Records) == 0 && read < next.Next {
			return eris.Wrapf(provider.ErrUnavailable, "read %s: a page before the end is empty", catalogue.StreamName)
		}
		page.Records, page.Next = next.Records, next.Next
	}
	c, _, err := catalogue.Replay(numbered)
	if err != nil {
		return err
	}
	if i.catalogueCommands.Replace(c, snapshotAt) {
		i.catalogueAdopted("log")
	}
	return nil
}

// decodeCatalogue returns the record, or an empty one that changes nothing if
// its bytes can't be read; all instances decide alike.
func (i *Instance) decodeCatalogue(r provider.Record) catalogue.Record {
	var record catalogue.Record
	if err := codec.Unmarshal(r.Data, &record); err != nil {
		i.Logger.Write(event.LogRecordUnread, catalogue.StreamName, r.Offset, err)
		return catalogue.Record{}
	}
	return record
}

// applyCatalogue applies records from the log or from a peer.
func (i *Instance) applyCatalogue(records []provider.Record, source string) error {
	adopted := false
	for _, r := range records {
		v, applied, err := i.catalogueCommands.Apply(catalogue.RawRecord{Offset: r.Offset, Data: r.Data}, i.decodeCatalogue(r))
		if err != nil {
			return eris.Wrap(err, "apply catalogue record")
		}
		if !applied {
			continue
		}
		switch v.Decision {
		case catalogue.Accepted:
			adopted = true
		case catalogue.NoEdit:
		default:
			i.Logger.Write(event.CatalogueRefused, v.Offset, v.Author, string(v.Decision), v.Detail)
		}
	}
	if adopted {
		i.catalogueAdopted(source)
	}
	return nil
}

// catalogueAdopted makes the other tables follow a newer catalogue.
func (i *Instance) catalogueAdopted(source string) {
	c := i.catalogueQueries.Current()
	i.Logger.Write(event.CatalogueAdopted, c.Revision, len(c.Entries()), source)
	i.backendCommands.Sync(i.serverSpecs(c), time.Now())
	i.followOpen()
	i.dispatchCommands.WakeWorker()
}

// followOpen cools the servers when this data centre is taken out or put on
// hold, and again when it returns, so that it is filled by steps: servers may have
// turned cold meanwhile, and what they reported before that may arrive afterwards.
func (i *Instance) followOpen() {
	now := time.Now()
	closed := !i.catalogueQueries.IsOpen(i.self.DataCentre, now)
	if i.closed.Swap(closed) == closed {
		return
	}
	i.backendCommands.MarkAllCold(now)
	// Steps that wait here are refused, or may be served now.
	i.dispatchCommands.WakeWorker()
}

// serverSpecs returns the backend servers of this instance's data centre.
func (i *Instance) serverSpecs(c catalogue.Catalogue) []backend.Spec {
	var specs []backend.Spec
	for _, e := range c.EntriesOfKind(catalogue.ServerKind) {
		if e.DataCentre != i.self.DataCentre {
			continue
		}
		specs = append(specs, serverSpec(c, e))
	}
	return specs
}

func serverSpec(c catalogue.Catalogue, e catalogue.Entry) backend.Spec {
	limits := e.Limits.WithDefaults(catalogue.ServerKind)
	return backend.Spec{
		Name: e.Name, Pool: e.Pool, DataCentre: e.DataCentre, Address: e.Address,
		LowestRank: lowestRank(c, e), MaxInFlight: limits.MaxInFlight, ColdInFlight: limits.ColdInFlight,
		TakenOut: e.State == catalogue.TakenOut,
	}
}

// lowestRank returns the rank of the lowest class that a server, its pool and
// its data centre all serve.
func lowestRank(c catalogue.Catalogue, server catalogue.Entry) int {
	rank, _ := c.ClassRank(server.Class)
	if pool, ok := c.Entry(catalogue.PoolKind, server.Pool); ok {
		r, _ := c.ClassRank(pool.Class)
		rank = min(rank, r)
	}
	if dc, ok := c.Entry(catalogue.DataCentreKind, server.DataCentre); ok {
		r, _ := c.ClassRank(dc.Class)
		rank = min(rank, r)
	}
	return rank
}

// ownPools returns the pools that have servers in this instance's data centre.
func (i *Instance) ownPools() []string {
	return i.catalogueQueries.Current().PoolsIn(i.self.DataCentre)
}

// runSnapshots appends snapshots of the catalogue before its records expire.
func (i *Instance) runSnapshots(ctx context.Context) error {
	last := time.Now()
	lastAt := uint64(0)
	for ctx.Err() == nil {
		sleep(ctx, i.snapshots.check+rand.N(i.snapshots.check))
		at := i.catalogueQueries.SnapshotOffset()
		if at != lastAt {
			last, lastAt = time.Now(), at
		}
		due := i.catalogueQueries.RecordsSinceSnapshot() >= i.snapshots.records || time.Since(last) >= i.snapshots.age
		if !due || !i.catalogueQueries.IsLoaded() || ctx.Err() != nil {
			continue
		}
		if i.appendSnapshot(ctx) == nil {
			last = time.Now()
		}
	}
	return nil
}

func (i *Instance) appendSnapshot(ctx context.Context) error {
	s := i.catalogueQueries.Current().Snapshot()
	data, err := codec.Marshal(catalogue.Record{Snapshot: &s})
	if err != nil {
		return err
	}
	if _, err := i.platformLog.Append(ctx, catalogue.StreamName, data); err != nil {
		i.Logger.Write(event.LogUnavailable, catalogue.StreamName, err)
		return err
	}
	i.Logger.Write(event.CatalogueSnapshot, s.Offset)
	return nil
}

// catalogueRecords returns the records after an offset for a peer. A peer that
// is far behind gets one record with a snapshot of the state at its offset.
func (i *Instance) catalogueRecords(after uint64) []provider.Record {
	raw, ok := i.catalogueQueries.RecordsAfter(after)
	if !ok {
		return i.snapshotForPeer()
	}
	records := make([]provider.Record, 0, len(raw))
	for _, r := range raw {
		records = append(records, provider.Record{Offset: r.Offset, Data: r.Data})
	}
	return records
}

func (i *Instance) snapshotForPeer() []provider.Record {
	s := i.catalogueQueries.Current().Snapshot()
	data, err := codec.Marshal(catalogue.Record{Snapshot: &s})
	if err != nil {
		return nil
	}
	return []provider.Record{{Offset: s.Offset, Data: data}}
}
