package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"lycheecrank.example/event"
	"lycheecrank.example/feed"
	"lycheecrank.example/membership"
	"lycheecrank.example/platform"
)

const (
	// readWait is how long a read of the operators' stream waits for a record.
	// readTimeout bounds each read of the store.
	readWait    = 400 * time.Millisecond
	readTimeout = 1100 * time.Millisecond
	// serverReadInterval is how often the leader reads the server entries.
	serverReadInterval = 350 * time.Millisecond
	// staleAge is the age of a copy above which every instance reads the store itself.
	// The leader's own copy is up to readWait old, and the instances of a large
	// site exchange heartbeats with it every half second.
	staleAge = 1500 * time.Millisecond
	// serverStaleAge is staleAge for the server entries. A removed server may get requests
	// for 2 s after its removal. That leaves 0.5 s for the check, the read and the way of a
	// request. In a large site a copy is up to 0.95 s old, and 1.35 s after one late reply.
	serverStaleAge = 1400 * time.Millisecond
	// extraReadInterval is the least time between two reads of a stream by an instance
	// that isn't the leader.
	extraReadInterval = time.Second
	// A candidate for leader reads the store if its copy is older than
	// candidateReadAge plus candidateReadStep for each candidate that precedes it. The
	// last candidate does so before the instances that aren't candidates.
	candidateReadAge  = 700 * time.Millisecond
	candidateReadStep = 150 * time.Millisecond
	// candidateFailurePause and otherFailurePause are the pauses after a failed read by
	// a candidate that isn't the leader, and by an instance that isn't a
	// candidate.
	candidateFailurePause = 300 * time.Millisecond
	otherFailurePause     = time.Second
	// readCheckInterval is how often an instance checks whether to read the operators'
	// stream.
	readCheckInterval = 100 * time.Millisecond
	// unavailableAge is how long the store must have been unavailable, by the age of a
	// copy, before entries may have expired for that reason. lapseGrace is how long a
	// removed server entry counts as lapsed once the store is available again: entries
	// that expired may be missing for that long.
	unavailableAge = 1500 * time.Millisecond
	lapseGrace     = 2 * time.Second
)

// runOperators keeps the copy of the operators' stream up to date.
func (i *Instance) runOperators(ctx context.Context) error {
	return i.follow(ctx, platform.OperatorStream, readWait, readCheckInterval)
}

// runServers keeps the copy of the server entries up to date.
func (i *Instance) runServers(ctx context.Context) error {
	return i.follow(ctx, platform.ServerStream, 0, serverReadInterval)
}

// follow reads a stream from the store while this instance is the leader or its
// copy is stale. Otherwise the instance receives the records in the replies to its
// heartbeats.
func (i *Instance) follow(ctx context.Context, stream string, wait, interval time.Duration) error {
	isDown := false
	var readAt time.Time
	for {
		next := interval
		isLeader := i.candidateIndex(time.Now()) == 0
		if !isLeader {
			next = readCheckInterval
		}
		if i.isReader(stream) && (isLeader || time.Since(readAt) >= extraReadInterval) {
			sentAt, breaks := time.Now(), i.lastBreak().Count
			hasReadOn, err := i.readStore(ctx, stream, wait)
			if isDown != (err != nil) {
				isDown = err != nil
				i.logStoreAvailability(stream, err)
			}
			if err != nil {
				i.recordReadFailure(sentAt, breaks)
			} else {
				readAt = time.Now()
				if hasReadOn && wait > 0 {
					continue
				}
			}
		}
		if isDown {
			next = max(interval, failurePause(i.candidateIndex(time.Now())))
		}
		if !pause(ctx, next) {
			return nil
		}
	}
}

// isReader reports whether this instance reads a stream from the store. If the reads of
// the leader fail, the candidates start to read one after the other. They do so
// before the copies of the other instances are stale, so that these needn't read as
// well. An instance that starts leaves the reads to the leader that it finds.
func (i *Instance) isReader(stream string) bool {
	now := time.Now()
	if i.isStarting(now) {
		return i.view().Size() > 1 && i.candidateIndex(now) == 0
	}
	age := now.Sub(i.feeds.Queries().State(stream).ConfirmedAt)
	switch index := i.candidateIndex(now); index {
	case 0:
		return true
	case notCandidate:
		return age > staleAgeOf(stream)
	default:
		return age > candidateReadAge+time.Duration(index)*candidateReadStep
	}
}

func staleAgeOf(stream string) time.Duration {
	if stream == platform.ServerStream {
		return serverStaleAge
	}
	return staleAge
}

// notCandidate is the index of an instance that isn't a candidate for leader.
const notCandidate = -1

// candidateIndex returns the index of this instance among the candidates for leader of
// the site: 0 for the leader itself, at least 1 for other candidates.
func (i *Instance) candidateIndex(now time.Time) int {
	view := i.view()
	if view.Coordinator(membership.Scope{}, now).Name == i.Settings.Name {
		return 0
	}
	index := slices.IndexFunc(view.Candidates(membership.Scope{}, now), func(instance membership.Instance) bool { return instance.Name == i.Settings.Name })
	if index < 0 {
		return notCandidate
	}
	return max(1, index)
}

// failurePause returns the pause after a failed read. An instance that isn't the
// coordinator pauses for longer, because it also receives the records from the
// coordinator.
func failurePause(candidateIndex int) time.Duration {
	switch candidateIndex {
	case 0:
		return 0
	case notCandidate:
		return otherFailurePause
	default:
		return candidateFailurePause
	}
}

func (i *Instance) logStoreAvailability(stream string, err error) {
	if err != nil {
		i.Logger.Write(event.LogUnavailable, stream, err)
		return
	}
	i.Logger.Write(event.LogAvailable, stream)
}

// readStore reads the records that the copy lacks, and reports whether it could read on where
// the copy ends. If the store no longer holds all of them, or the copy is of an earlier era of
// the store, it reads the newest record of each key instead.
func (i *Instance) readStore(ctx context.Context, stream string, wait time.Duration) (hasReadOn bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	state := i.feeds.Queries().State(stream)
	if state.End == 0 {
		return false, i.readSnapshot(ctx, stream)
	}
	sentAt, from := time.Now(), feed.Position{Era: state.Era, Offset: state.ReadStart()}
	records, end, err := i.store.Read(ctx, stream, from, wait)
	if errors.Is(err, platform.ErrExpired) {
		return false, i.readSnapshot(ctx, stream)
	}
	if err != nil {
		return false, err
	}
	at := completeAt(sentAt, wait, len(records) > 0)
	if len(records) > 0 && end.Offset < state.End {
		at = time.Time{} // the response holds only a part of the overlap
	}
	// The copy doesn't take the records if another instance has sent some of a later era
	// meanwhile.
	isApplied := i.addRead(stream, feed.Batch{Era: end.Era, From: from.Offset, End: end.Offset, Records: records}, at)
	if isApplied {
		i.pushOperatorRecords(stream, records)
	}
	return isApplied, nil
}

// readSnapshot reads the newest record of each key.
func (i *Instance) readSnapshot(ctx context.Context, stream string) error {
	before := i.feeds.Queries().State(stream)
	sentAt := time.Now()
	records, end, err := i.store.Newest(ctx, stream)
	if err != nil {
		return err
	}
	if end.Era > before.Era && before.End > 0 && stream == platform.OperatorStream {
		records = append(records, i.readRemovals(ctx, stream, end)...)
	}
	i.startLapseGrace(stream)
	changed := 0
	isApplied := i.feeds.Commands().ApplySnapshot(stream, feed.Batch{Era: end.Era, End: end.Offset, Records: records}, sentAt, func(fresh []feed.Record) {
		changed = len(fresh)
		i.applyRecords(stream, fresh)
	})
	if end.Offset > 0 || before.End > 0 {
		i.Logger.Write(event.SnapshotRead, stream, end.Era, end.Offset, before.Era, before.End, len(records), changed)
	}
	if !isApplied {
		return nil // the copy is of a later era already
	}
	if end.Era > before.Era {
		i.requestAllRecords()
	}
	i.confirmConfiguration(stream, sentAt)
	i.pushOperatorRecords(stream, records)
	return nil
}

// maxRemovalReads is the number of records before the end of a stream among which an instance
// looks for removals when the era of the store has changed.
const maxRemovalReads = 64

// readRemovals returns the removals among the last records of a stream. A snapshot of a new
// era doesn't show whether a key that it lacks was removed in that era or is part of what the
// store has lost.
func (i *Instance) readRemovals(ctx context.Context, stream string, end feed.Position) []feed.Record {
	records, err := i.store.Tail(ctx, stream, end, maxRemovalReads)
	if err != nil {
		i.Logger.Write(event.LogUnavailable, stream, err)
		return nil
	}
	return slices.DeleteFunc(records, func(r feed.Record) bool { return !r.IsRemoved })
}

// completeAt returns when the copy was complete according to a read: at the end of the
// wait if the read waited and returned no records, otherwise when the read was sent.
func completeAt(sentAt time.Time, wait time.Duration, hasRecords bool) time.Time {
	if !hasRecords && time.Since(sentAt) >= wait {
		return sentAt.Add(wait)
	}
	return sentAt
}

// addRead adds records that were read from the store to the copy of a stream, applies the new
// ones, and reports whether the copy took them (see feed.State.WithBatch).
func (i *Instance) addRead(stream string, batch feed.Batch, at time.Time) bool {
	i.startLapseGrace(stream)
	isApplied := i.feeds.Commands().ApplyRead(stream, batch, at, func(fresh []feed.Record) { i.applyRecords(stream, fresh) })
	if isApplied {
		i.confirmConfiguration(stream, at)
	}
	return isApplied
}

// addRecords adds records of another instance to the copy of a stream and applies the new
// ones.
func (i *Instance) addRecords(stream string, batch feed.Batch, at time.Time) {
	i.startLapseGrace(stream)
	if i.feeds.Commands().ApplyRecords(stream, batch, at, func(fresh []feed.Record) { i.applyRecords(stream, fresh) }) {
		i.confirmConfiguration(stream, at)
	}
}

// pushOperatorRecords sends heartbeats to all reachable instances after operator
// changes, so that these are in force everywhere as soon as possible. Only an instance
// that read the changes from the store does so. If each instance that receives them
// notified all others, the messages for one change would grow with the square of the
// number of instances.
func (i *Instance) pushOperatorRecords(stream string, records []feed.Record) {
	if len(records) > 0 && stream == platform.OperatorStream {
		i.isPushPending.Store(true)
		i.triggerHeartbeats()
	}
}

func (i *Instance) confirmConfiguration(stream string, at time.Time) {
	if stream == platform.OperatorStream {
		i.routes.Commands().Confirm(at)
	}
}

// streams are the streams of the store that every instance copies.
var streams = []string{platform.OperatorStream, platform.ServerStream}

// positions returns the end and the age of each copy.
func (i *Instance) positions() []position {
	now := time.Now()
	var positions []position
	for _, stream := range streams {
		s := i.feeds.Queries().State(stream)
		positions = append(positions, position{Stream: stream, Era: s.Era, End: s.End, AgeMs: now.Sub(s.ConfirmedAt).Milliseconds()})
	}
	return positions
}

// missingRecords returns the records that an instance with the given positions lacks.
func (i *Instance) missingRecords(positions []position) []streamRecords {
	var missing []streamRecords
	isNew := isWithoutServers(positions)
	for _, p := range positions {
		if b, ok := i.feeds.Queries().State(p.Stream).Missing(p.end(), isNew); ok {
			missing = append(missing, newStreamRecords(p.Stream, b))
		}
	}
	return missing
}

// applyReply adds the records in a reply to a heartbeat, and confirms the copies that
// end where those of the replying instance end. A copy is confirmed for the time at
// which the heartbeat was sent, less the age in the reply. As the reply was written
// after that, the confirmed time may be too early but never too late.
func (i *Instance) applyReply(reply heartbeat, sentAt time.Time) {
	i.recordReportedFailure(reply, sentAt)
	for _, process := range reply.Leaving {
		i.recordLeaving(process, fromReply)
	}
	for _, m := range reply.Missing {
		i.addRecords(m.Stream, m.batch(), confirmedAt(reply, m.Stream, sentAt))
	}
	for _, p := range reply.Positions {
		at := confirmedAt(reply, p.Stream, sentAt)
		if p.end() == i.feeds.Queries().State(p.Stream).Position() {
			i.feeds.Commands().Confirm(p.Stream, p.end(), at)
			i.confirmConfiguration(p.Stream, at)
		}
	}
}

// confirmedAt returns a time for which a reply confirms the copy of the replying
// instance, or the zero time if the reply doesn't mention the stream.
func confirmedAt(reply heartbeat, stream string, sentAt time.Time) time.Time {
	for _, p := range reply.Positions {
		if p.Stream == stream {
			return sentAt.Add(-time.Duration(p.AgeMs) * time.Millisecond)
		}
	}
	return time.Time{}
}
