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

// snapshotPolicy defines when an instance appends a snapshot of the catalogue.
type snapshotPolicy struct {
	// A snapshot is due after this number of records, or after this time, since the
	// latest snapshot.
	maxRecords uint64
	maxAge     time.Duration
	// checkInterval is the least time between two checks. Each check is delayed by a
	// random time of up to the same length, so that instances rarely append the same
	// snapshot. A duplicate snapshot is harmless.
	checkInterval time.Duration
}

// defaultSnapshots returns the policy in use. maxAge is a quarter of the shortest
// retention, 1 h, so that a snapshot is appended before records expire.
func defaultSnapshots() snapshotPolicy {
	return snapshotPolicy{maxRecords: 1000, maxAge: 15 * time.Minute, checkInterval: 20 * time.Second}
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
			return eris.Wrapf(provider.ErrUnavailable, "read %s: empty page before the end of the stream", catalogue.StreamName)
		}
		page.Records, page.Next = next.Records, next.Next
	}
	replayed, _, err := catalogue.Replay(numbered)
	if err != nil {
		return err
	}
	if i.catalogueCommands.Replace(replayed, snapshotAt) {
		i.onCatalogueApplied("log")
	}
	return nil
}

// decodeCatalogue decodes a record. A record that can't be decoded becomes an empty
// one, which changes nothing, so that all instances get the same catalogue.
func (i *Instance) decodeCatalogue(raw provider.Record) catalogue.Record {
	var record catalogue.Record
	if err := codec.Unmarshal(raw.Data, &record); err != nil {
		i.Logger.Write(event.LogRecordUnreadable, catalogue.StreamName, raw.Offset, err)
		return catalogue.Record{}
	}
	return record
}

// applyCatalogue applies records from the log or from a peer.
func (i *Instance) applyCatalogue(records []provider.Record, source string) error {
	isChanged := false
	for _, r := range records {
		verdict, applied, err := i.catalogueCommands.Apply(catalogue.RawRecord{Offset: r.Offset, Data: r.Data}, i.decodeCatalogue(r))
		if err != nil {
			return eris.Wrap(err, "apply catalogue record")
		}
		if !applied {
			continue
		}
		switch verdict.Decision {
		case catalogue.Accepted:
			isChanged = true
		case catalogue.NoEdit:
		default:
			i.Logger.Write(event.CatalogueEditRefused, verdict.Offset, verdict.Author, string(verdict.Decision), verdict.Detail)
		}
	}
	if isChanged {
		i.onCatalogueApplied(source)
	}
	return nil
}

// onCatalogueApplied updates the other tables after a newer catalogue was applied.
func (i *Instance) onCatalogueApplied(source string) {
	current := i.catalogueQueries.Current()
	i.Logger.Write(event.CatalogueApplied, current.Revision, len(current.Entries()), source)
	i.backendCommands.Sync(i.serverSpecs(current), time.Now())
	i.applyDataCentreState()
	i.dispatchCommands.WakeWorker()
}

// applyDataCentreState marks all servers as cold when this data centre is taken out or
// put on hold, and again when it returns to service, so that their load rises gradually:
// a server may have turned cold while the data centre was out of service, and a load
// report from the time when it was warm may arrive late.
func (i *Instance) applyDataCentreState() {
	now := time.Now()
	isOut := !i.catalogueQueries.IsOpen(i.self.DataCentre, now)
	if i.isOutOfService.Swap(isOut) == isOut {
		return
	}
	i.backendCommands.MarkAllCold(now)
	// Queued steps are refused if the data centre is now out of service, and can run if
	// it has returned.
	i.dispatchCommands.WakeWorker()
}

// serverSpecs returns the backend servers of this instance's data centre.
func (i *Instance) serverSpecs(current catalogue.Catalogue) []backend.Spec {
	var specs []backend.Spec
	for _, entry := range current.EntriesOfKind(catalogue.ServerKind) {
		if entry.DataCentre != i.self.DataCentre {
			continue
		}
		specs = append(specs, serverSpec(current, entry))
	}
	return specs
}

func serverSpec(current catalogue.Catalogue, entry catalogue.Entry) backend.Spec {
	limits := entry.Limits.WithDefaults(catalogue.ServerKind)
	return backend.Spec{
		Name: entry.Name, Pool: entry.Pool, DataCentre: entry.DataCentre, Address: entry.Address,
		LowestRank: lowestRank(current, entry), MaxInFlight: limits.MaxInFlight, ColdInFlight: limits.ColdInFlight,
		TakenOut: entry.State == catalogue.TakenOut,
	}
}

// lowestRank returns the rank of the lowest class that a server, its pool and its
// data centre all serve.
func lowestRank(current catalogue.Catalogue, server catalogue.Entry) int {
	rank, _ := current.ClassRank(server.Class)
	if pool, ok := current.Entry(catalogue.PoolKind, server.Pool); ok {
		r, _ := current.ClassRank(pool.Class)
		rank = min(rank, r)
	}
	if dc, ok := current.Entry(catalogue.DataCentreKind, server.DataCentre); ok {
		r, _ := current.ClassRank(dc.Class)
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
	lastTime := time.Now()
	lastOffset := uint64(0)
	for ctx.Err() == nil {
		sleep(ctx, i.snapshots.checkInterval+rand.N(i.snapshots.checkInterval))
		latestOffset := i.catalogueQueries.SnapshotOffset()
		if latestOffset != lastOffset {
			lastTime, lastOffset = time.Now(), latestOffset
		}
		due := i.catalogueQueries.RecordsSinceSnapshot() >= i.snapshots.maxRecords || time.Since(lastTime) >= i.snapshots.maxAge
		if !due || !i.catalogueQueries.IsLoaded() || ctx.Err() != nil {
			continue
		}
		if i.appendSnapshot(ctx) == nil {
			lastTime = time.Now()
		}
	}
	return nil
}

func (i *Instance) appendSnapshot(ctx context.Context) error {
	snapshot := i.catalogueQueries.Current().Snapshot()
	data, err := codec.Marshal(catalogue.Record{Snapshot: &snapshot})
	if err != nil {
		return err
	}
	if _, err := i.platformLog.Append(ctx, catalogue.StreamName, data); err != nil {
		i.Logger.Write(event.LogUnavailable, catalogue.StreamName, err)
		return err
	}
	i.Logger.Write(event.CatalogueSnapshotAppended, snapshot.Offset)
	return nil
}

// catalogueRecords returns the records after an offset for a peer. If this instance
// no longer has them, it returns one record with a snapshot of the current catalogue,
// at the offset of the snapshot.
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
	snapshot := i.catalogueQueries.Current().Snapshot()
	data, err := codec.Marshal(catalogue.Record{Snapshot: &snapshot})
	if err != nil {
		return nil
	}
	return []provider.Record{{Offset: snapshot.Offset, Data: data}}
}
