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
	// readWait is how long a read of the operators' stream waits for a record, and
	// readLimit how long for its answer at all.
	readWait  = 400 * time.Millisecond
	readLimit = 1100 * time.Millisecond
	// serversInterval is how often the coordinator reads the entries of servers.
	serversInterval = 350 * time.Millisecond
	// staleAge is the age of a copy from which on an instance reads the store
	// itself. The coordinator's own copy is up to readWait old, and instances of a
	// large site hear of it each half second.
	staleAge = 1500 * time.Millisecond
	// candidateAge and candidateStep are the age from which on the candidates for
	// coordinator read, each a step after the one before it. The last one does so
	// before the other instances do.
	candidateAge  = 700 * time.Millisecond
	candidateStep = 150 * time.Millisecond
	// candidateFailurePause and otherFailurePause are the pauses after a failed read
	// of an instance that is not the coordinator.
	candidateFailurePause = 300 * time.Millisecond
	otherFailurePause     = time.Second
	// readPause is the pause between two looks whether to read the store.
	readPause = 100 * time.Millisecond
	// awayAge is the age of a copy from which on the store counts as having been
	// away, awayGrace for how long after its return entries may still be missing.
	awayAge   = 1500 * time.Millisecond
	awayGrace = 2 * time.Second
)

// runOperators keeps the copy of the operators' stream up to date.
func (i *Instance) runOperators(ctx context.Context) error {
	return i.follow(ctx, platform.Operators, readWait, readPause)
}

// runServers keeps the copy of the servers' entries up to date.
func (i *Instance) runServers(ctx context.Context) error {
	return i.follow(ctx, platform.Servers, 0, serversInterval)
}

// follow reads a stream while this instance is the coordinator or its copy is
// stale; else the coordinator passes records on with its heartbeats.
func (i *Instance) follow(ctx context.Context, stream string, wait, interval time.Duration) error {
	isDown := false
	for {
		if i.isReader(stream) {
			err := i.readStore(ctx, stream, wait)
			if isDown != (err != nil) {
				isDown = err != nil
				i.reportStore(stream, err)
			}
			if err == nil && wait > 0 {
				continue
			}
		}
		next := interval
		if isDown {
			next = max(interval, failurePause(i.candidacy(time.Now())))
		}
		if !pause(ctx, next) {
			return nil
		}
	}
}

// isReader reports whether this instance reads a stream in the store. The next
// candidates step in one after the other before the copies of all others are old, so
// that a coordinator that the store turns away doesn't make every instance read.
func (i *Instance) isReader(stream string) bool {
	now := time.Now()
	age := now.Sub(i.feeds.Queries().State(stream).ConfirmedAt)
	switch place := i.candidacy(now); place {
	case 0:
		return true
	case noCandidate:
		return age > staleAge
	default:
		return age > candidateAge+time.Duration(place)*candidateStep
	}
}

// noCandidate is the place of an instance that is not among the candidates.
const noCandidate = -1

// candidacy returns the place of this instance among the candidates for coordinator,
// 0 for the coordinator itself.
func (i *Instance) candidacy(now time.Time) int {
	v := i.view()
	if v.Coordinator(now).Name == i.Settings.Name {
		return 0
	}
	place := slices.IndexFunc(v.Candidates(now), func(m membership.Instance) bool { return m.Name == i.Settings.Name })
	if place < 0 {
		return noCandidate
	}
	return max(1, place)
}

// failurePause is the pause after a failed read: who is not the coordinator would
// only ask an absent store for what the coordinator passes on.
func failurePause(place int) time.Duration {
	switch place {
	case 0:
		return 0
	case noCandidate:
		return otherFailurePause
	default:
		return candidateFailurePause
	}
}

func (i *Instance) reportStore(stream string, err error) {
	if err != nil {
		i.Logger.Write(event.LogUnavailable, stream, err)
		return
	}
	i.Logger.Write(event.LogAvailable, stream)
}

// readStore reads the records that the copy lacks, or all newest ones if the
// history that it needs is gone.
func (i *Instance) readStore(ctx context.Context, stream string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	state := i.feeds.Queries().State(stream)
	asked := time.Now()
	if state.End > 0 {
		records, end, err := i.store.Read(ctx, stream, state.End, wait)
		if err == nil {
			i.take(stream, records, end, completeAt(asked, wait, len(records) > 0))
			i.push(stream, records)
			return nil
		}
		if !errors.Is(err, platform.ErrExpired) {
			return err
		}
	}
	records, end, err := i.store.Newest(ctx, stream)
	if err != nil {
		return err
	}
	i.noteAway(stream)
	i.feeds.Commands().ApplySnapshot(stream, records, end, asked, func(fresh []feed.Record) { i.apply(stream, fresh) })
	i.confirm(stream, asked)
	i.push(stream, records)
	return nil
}

// completeAt returns when a copy was complete after a read: one that waited for
// nothing shows it for the end of its wait, any other one for when it was asked.
func completeAt(asked time.Time, wait time.Duration, isFruitful bool) time.Time {
	if !isFruitful && time.Since(asked) >= wait {
		return asked.Add(wait)
	}
	return asked
}

// take adds records to the copy of a stream and applies the new ones.
func (i *Instance) take(stream string, records []feed.Record, end uint64, at time.Time) {
	i.noteAway(stream)
	i.feeds.Commands().ApplyRecords(stream, records, end, at, func(fresh []feed.Record) { i.apply(stream, fresh) })
	i.confirm(stream, at)
}

// push tells all instances that are reached of new words of operators, so that these
// are in force everywhere as soon as possible. Only who read them in the store does
// so: if all that hear of them told all others, a change would take messages by the
// square of the instances.
func (i *Instance) push(stream string, records []feed.Record) {
	if len(records) > 0 && stream == platform.Operators {
		i.isPushing.Store(true)
		i.wakeHeartbeats()
	}
}

func (i *Instance) confirm(stream string, at time.Time) {
	if stream == platform.Operators {
		i.routes.Commands().Confirm(at)
	}
}

// noteAway notes that the copy of the servers' entries is continued after a time
// in which entries may have lapsed.
func (i *Instance) noteAway(stream string) {
	state := i.feeds.Queries().State(stream)
	if stream == platform.Servers && !state.ConfirmedAt.IsZero() && time.Since(state.ConfirmedAt) > awayAge {
		i.awayUntil.Store(time.Now().Add(awayGrace).UnixNano())
	}
}

// streams are the streams of the store that every instance has a copy of.
var streams = []string{platform.Operators, platform.Servers}

// positions returns how far the copies reach.
func (i *Instance) positions() []position {
	now := time.Now()
	var positions []position
	for _, stream := range streams {
		s := i.feeds.Queries().State(stream)
		positions = append(positions, position{Stream: stream, End: s.End, AgeMs: now.Sub(s.ConfirmedAt).Milliseconds()})
	}
	return positions
}

// missing returns the records that an instance lacks whose copies reach some
// positions.
func (i *Instance) missing(positions []position) []streamRecords {
	var missing []streamRecords
	for _, p := range positions {
		if s := i.feeds.Queries().State(p.Stream); s.End > p.End {
			missing = append(missing, streamRecords{Stream: p.Stream, From: p.End, Records: s.Since(p.End), End: s.End})
		}
	}
	return missing
}

// catchUp takes what another instance has beyond the copies of this one, and
// notes which copies were complete when it was asked. Its answer was made after
// that moment.
func (i *Instance) catchUp(b heartbeat, asked time.Time) {
	for _, m := range b.Missing {
		if i.feeds.Queries().State(m.Stream).End >= m.From {
			i.take(m.Stream, m.Records, m.End, confirmedAt(b, m.Stream, asked))
		}
	}
	for _, p := range b.Positions {
		at := confirmedAt(b, p.Stream, asked)
		if p.End == i.feeds.Queries().State(p.Stream).End {
			i.feeds.Commands().Confirm(p.Stream, p.End, at)
			i.confirm(p.Stream, at)
		}
	}
}

// confirmedAt returns when the copy of another instance was last complete.
func confirmedAt(b heartbeat, stream string, asked time.Time) time.Time {
	for _, p := range b.Positions {
		if p.Stream == stream {
			return asked.Add(-time.Duration(p.AgeMs) * time.Millisecond)
		}
	}
	return time.Time{}
}
