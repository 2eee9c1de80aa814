package entry

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/codec"
	"lycheecrank.example/engine"
	"lycheecrank.example/event"
	"lycheecrank.example/fleet"
	"lycheecrank.example/platform"
	"lycheecrank.example/preparation"
	"lycheecrank.example/quarantine"
	"lycheecrank.example/request"
)

const (
	// judgeDelay is how long a new coordinator learns of successes before it quarantines
	// parts of prompts.
	judgeDelay = time.Second
	// judgeInterval is how often a coordinator judges crashes in addition to when it
	// learns of one.
	judgeInterval = 500 * time.Millisecond
	// probeTurn is how long one cell may send a probe before it is the turn of the next
	// one, which may have requests with the part where the first has none.
	probeTurn = 5 * time.Second
	// maxQuarantineWrites bounds the entries that wait to be written to the store.
	maxQuarantineWrites = 256
	// quarantineTimeout bounds a read or write of entries, quarantineRetryDelay is the
	// pause after a failed one.
	quarantineTimeout    = 1500 * time.Millisecond
	quarantineRetryDelay = time.Second
)

// verdict returns the reason for which a request with a prompt is refused, if there is
// one.
func (i *Instance) verdict(prompt engine.Prompt) (quarantine.Verdict, bool) {
	return i.quarantine.Queries().Verdict(prompt.SharedParts(), time.Now())
}

// recordCrash records that an engine broke off its answer to a request because it crashed.
func (i *Instance) recordCrash(server fleet.Server, id string, prompt engine.Prompt) {
	i.recordCrashes([]quarantine.Crash{newCrash(server, id, prompt, time.Now())})
}

func newCrash(server fleet.Server, id string, prompt engine.Prompt, at time.Time) quarantine.Crash {
	return quarantine.Crash{
		Server: incarnation(server), DataCentre: server.DataCentre, RequestID: id, Parts: prompt.SharedParts(), AtUnixMilli: at.UnixMilli(),
	}
}

// recordCrashes records what engines that crashed were working on.
func (i *Instance) recordCrashes(crashes []quarantine.Crash) {
	now := time.Now()
	isNew := false
	for _, c := range crashes {
		if i.quarantine.Commands().RecordCrash(c, now) {
			isNew = true
			i.Logger.Write(event.EngineCrashed, c.RequestID, c.Server, c.DataCentre, c.Parts)
		}
	}
	if isNew {
		i.triggerHeartbeats()
		i.judgeCrashes(now)
	}
}

// recordBegin records that an engine has sent the first event of its answer to a prompt.
func (i *Instance) recordBegin(id string, prompt engine.Prompt) {
	i.announceQuarantine(i.quarantine.Commands().RecordBegin(id, prompt.SharedParts(), time.Now()))
}

// recordAnswerEnd records how the answer to a request ended.
func (i *Instance) recordAnswerEnd(id string, status preparation.RunStatus) {
	i.announceQuarantine(i.quarantine.Commands().RecordEnd(id, status == preparation.RunFailed, time.Now()))
}

// judgeCrashes quarantines parts of prompts if this instance is the coordinator of its
// cell and has been so for judgeDelay.
func (i *Instance) judgeCrashes(now time.Time) {
	since := i.coordinatorSince.Load()
	if since == 0 || i.instant(now)-since < int64(judgeDelay) {
		return
	}
	layout, own := i.division.Load().layout, i.ownCell()
	isOwn := func(dataCentre string) bool { return layout.Of(dataCentre) == own }
	i.announceQuarantine(i.quarantine.Commands().Judge(now, isOwn))
}

// runJudging settles the answers that go on, and judges the crashes that this instance learned
// of before it was allowed to.
func (i *Instance) runJudging(ctx context.Context) error {
	for pause(ctx, judgeInterval) {
		now := time.Now()
		i.announceQuarantine(i.quarantine.Commands().Settle(now))
		i.judgeCrashes(now)
	}
	return nil
}

// announceQuarantine logs entries that this instance has changed, sends them to all
// reachable instances and writes them to the store.
func (i *Instance) announceQuarantine(changed []quarantine.Entry) {
	if len(changed) == 0 {
		return
	}
	i.logQuarantine(changed)
	for _, e := range changed {
		i.queueQuarantineWrite(e)
	}
	i.isPushPending.Store(true)
	i.triggerHeartbeats()
}

func (i *Instance) queueQuarantineWrite(e quarantine.Entry) {
	select {
	case i.quarantineWrites <- e.Key():
	default:
		i.coordinationCounts.Add("quarantineWriteDropped")
	}
}

func (i *Instance) logQuarantine(changed []quarantine.Entry) {
	for _, e := range changed {
		if !e.IsQuarantined() {
			i.Logger.Write(event.QuarantineEnded, e.Parts, e.Succeeded, e.Generation)
			continue
		}
		var servers, requests []string
		for _, c := range e.Evidence {
			servers, requests = append(servers, c.Server), append(requests, c.RequestID)
		}
		i.Logger.Write(event.PromptQuarantined, e.Parts, e.Level, servers, requests, e.SinceUnixMilli)
	}
}

// mergeQuarantine adds what another instance knows.
func (i *Instance) mergeQuarantine(update quarantine.Update, now time.Time) {
	if update.IsEmpty() {
		return
	}
	merged := i.quarantine.Commands().Merge(update, now)
	i.logQuarantine(merged.Learned)
	i.announceQuarantine(merged.Corrected)
	if merged.HasNewCrashes {
		i.judgeCrashes(now)
	}
}

// passOnQuarantine sends what this instance has learned shortly before it exits to the
// other instances, and waits for their replies. The last requests in flight may end with
// a crash, and the heartbeat loop stops before it has reported that.
func (i *Instance) passOnQuarantine(ctx context.Context) {
	now := time.Now()
	if i.quarantine.Queries().Fresh(now).IsEmpty() {
		return
	}
	var group errgroup.Group
	for _, t := range i.heartbeatTargets(1, now) {
		t.wantsRecords = false
		group.Go(func() error {
			i.sendHeartbeat(ctx, t, false)
			return nil
		})
	}
	_ = group.Wait()
}

// missingQuarantine returns what the sender of a heartbeat may lack: all entries if its
// digest differs, and the recent crashes if it is a candidate for coordinator.
func (i *Instance) missingQuarantine(received heartbeat, now time.Time) quarantine.Update {
	var missing quarantine.Update
	if received.QuarantineDigest != i.quarantine.Queries().Digest() {
		missing.Entries = i.quarantine.Queries().Entries()
	}
	if received.IsCandidate {
		missing.Crashes = i.quarantine.Queries().Fresh(now).Crashes
	}
	return missing
}

// admitPrompt decides about a request that this instance prepares as coordinator: it
// refuses a quarantined prompt, unless it sends the request as a probe.
func (i *Instance) admitPrompt(task preparation.Task) (isProbe bool, failure *request.Failure) {
	now := time.Now()
	parts := task.Prompt.SharedParts()
	verdict, ok := i.quarantine.Queries().Verdict(parts, now)
	if !ok {
		return false, nil
	}
	if verdict.IsProbeDue && i.quarantine.Commands().AdmitProbe(parts, task.RequestID, i.mayProbe, now) {
		i.Logger.Write(event.QuarantineProbed, task.RequestID, parts)
		return true, nil
	}
	refusal := verdict.Failure()
	return false, &refusal
}

// mayProbe reports whether it is the turn of this instance's cell to send a probe. One
// cell at a time does so, since each probe may crash an engine.
func (i *Instance) mayProbe(e quarantine.Entry, overdue time.Duration) bool {
	cells := i.division.Load().layout.Cells()
	turn := xxhash.Sum64String(e.Key()) + uint64(e.Level) + uint64(overdue/probeTurn)
	return cells[turn%uint64(len(cells))] == i.ownCell()
}

// runQuarantineWrites writes changed entries to the store, so that they outlast a stop of
// all instances. It repeats a failed write.
func (i *Instance) runQuarantineWrites(ctx context.Context) error {
	for {
		select {
		case key := <-i.quarantineWrites:
			for err := i.writeQuarantine(ctx, key); err != nil && pause(ctx, quarantineRetryDelay); {
				err = i.writeQuarantine(ctx, key)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// writeQuarantine writes the entry with a key, or removes it if the quarantine has ended.
// The store may execute a write late; the condition on the end of the stream keeps an old
// one from taking effect after a newer one.
func (i *Instance) writeQuarantine(ctx context.Context, key string) error {
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout)
	defer cancel()
	e := i.quarantine.Queries().Entry(key)
	var data []byte
	if e.IsQuarantined() {
		var err error
		if data, err = codec.Marshal(e); err != nil {
			return err
		}
	}
	_, end, err := i.store.Newest(ctx, platform.QuarantineStream)
	if err == nil {
		err = i.store.PutAt(ctx, platform.QuarantineStream, key, data, end)
	}
	if err != nil {
		i.Logger.Write(event.LogUnavailable, platform.QuarantineStream, err)
	}
	return err
}

// runQuarantineReads reads the entries from the store when this instance is the leader, and
// again in each later era of the store: all other instances learn them from it.
func (i *Instance) runQuarantineReads(ctx context.Context) error {
	hasRead, readEra := false, uint64(0)
	for pause(ctx, quarantineRetryDelay) {
		era := i.storeEra()
		if hasRead && era == readEra {
			continue
		}
		if now := time.Now(); i.isStarting(now) || i.candidateIndex(now) != 0 {
			continue
		}
		if err := i.readQuarantine(ctx); err != nil {
			i.Logger.Write(event.LogUnavailable, platform.QuarantineStream, err)
			continue
		}
		hasRead, readEra = true, era
	}
	return nil
}

// readQuarantine reads the entries from the store, and has those written that differ from
// what this instance knows: the store may have come back from an older copy.
func (i *Instance) readQuarantine(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout)
	defer cancel()
	records, _, err := i.store.Newest(ctx, platform.QuarantineStream)
	if err != nil {
		return err
	}
	var update quarantine.Update
	for _, r := range records {
		var e quarantine.Entry
		if err := codec.Unmarshal(r.Value, &e); err != nil {
			i.Logger.Write(event.LogRecordUnreadable, platform.QuarantineStream, r.Offset, err)
			continue
		}
		update.Entries = append(update.Entries, e)
	}
	i.mergeQuarantine(update, time.Now())
	for _, e := range i.quarantine.Queries().Entries() {
		isStored := slices.ContainsFunc(update.Entries, func(stored quarantine.Entry) bool { return stored.Key() == e.Key() })
		if isStored != e.IsQuarantined() {
			i.queueQuarantineWrite(e)
		}
	}
	return nil
}
