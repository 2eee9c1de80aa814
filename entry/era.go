package entry

import (
	"time"

	"lycheecrank.example/event"
	"lycheecrank.example/feed"
	"lycheecrank.example/platform"
)

const (
	// operatorKeepPeriod is how long after a change of the store's era an evacuation or an
	// order that the store has lost stays in force. The operator writes it again or removes it
	// before. A configuration stays in force until a newer version replaces it.
	operatorKeepPeriod = time.Minute
	// serverKeepPeriod is the same for the entries of backend servers, which write them again
	// as heartbeats.
	serverKeepPeriod = lapseGrace
)

// addStreams adds the copies of the streams that every instance follows.
func (i *Instance) addStreams() {
	i.feeds.OnLate = func(_ string, late feed.Record) { i.Logger.Write(event.LateEntryIgnored, late.Key, late.Offset) }
	i.feeds.OnInvalid = func(stream string, r feed.Invalid) {
		i.Logger.Write(event.LogRecordUnreadable, stream, r.Offset, r.Err)
	}
	i.feeds.OnEra = i.recordEra
	i.feeds.AddStream(platform.OperatorStream, feed.State{VersionOf: platform.OperatorVersion, KeepPeriod: operatorKeepPeriod})
	i.feeds.AddStream(platform.ServerStream, feed.State{
		IsEquivalent: platform.IsSameServer, VersionOf: platform.ServerVersion, KeepPeriod: serverKeepPeriod,
	})
}

// recordEra logs that the copy of a stream has changed to a later era of the store. It is
// called under the lock of the feed table.
func (i *Instance) recordEra(stream string, before, after feed.State) {
	if before.End == 0 {
		return // the first records of this process
	}
	i.Logger.Write(event.CopyEraChanged, stream, after.Era, after.End, before.Era, before.End, after.KeptCount())
}

// storeEra returns the latest era of the store that this instance knows, from the store itself
// or from other instances.
func (i *Instance) storeEra() uint64 {
	return max(i.store.Era(), i.feeds.Queries().State(platform.OperatorStream).Era)
}

// requestAllRecords makes this instance ask another one for all that it knows.
func (i *Instance) requestAllRecords() {
	i.allRecordsUntil.Store(i.instant(time.Now().Add(settlingTime)))
}

// wantsAllRecords reports whether a heartbeat is to ask for all that the receiver knows.
func (i *Instance) wantsAllRecords(now time.Time) bool {
	return i.instant(now) < i.allRecordsUntil.Load()
}

// removeKept removes the values that the store has lost and that weren't written again in
// time.
func (i *Instance) removeKept() {
	for _, stream := range streams {
		i.feeds.Commands().RemoveKept(stream, func(fresh []feed.Record) { i.applyRecords(stream, fresh) })
	}
}
