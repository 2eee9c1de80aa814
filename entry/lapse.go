package entry

import (
	"time"

	"lycheecrank.example/event"
	"lycheecrank.example/platform"
)

// maxFailureDelay is by how much a failed read may exceed readTimeout and still be evidence
// against the store. The read of a process that was frozen ends later.
const maxFailureDelay = 200 * time.Millisecond

// maxConfirmedAge is above the age of each copy that was ever confirmed. An instance without
// a confirmed copy reports the largest possible age.
const maxConfirmedAge = 365 * 24 * time.Hour

// recordReadFailure records that the store was unavailable, after a read failed that was
// sent at a time and after a number of breaks. A read that took longer than its timeout, or
// during which this instance had a break, failed because this instance didn't run.
func (i *Instance) recordReadFailure(sentAt time.Time, breaks int64) {
	if time.Since(sentAt) > readTimeout+maxFailureDelay || i.lastBreak().Count != breaks {
		return
	}
	i.readFailedAt.Store(i.instant(time.Now()))
}

// recordReportedFailure records that the store was unavailable for the instance that sent a
// reply. As with confirmations, only a reply tells the time: a heartbeat may have been
// delayed. The recorded time may be too early but never too late.
func (i *Instance) recordReportedFailure(reply heartbeat, sentAt time.Time) {
	if reply.SinceReadFailureMs <= 0 {
		return
	}
	at := i.instant(sentAt.Add(-time.Duration(reply.SinceReadFailureMs) * time.Millisecond))
	for {
		old := i.reportedFailureAt.Load()
		if at <= old || i.reportedFailureAt.CompareAndSwap(old, at) {
			return
		}
	}
}

// sinceReadFailureMs returns the time since the last own read that failed because the store
// was unavailable, in milliseconds and at least 1, or 0 if none has failed.
func (i *Instance) sinceReadFailureMs() int64 {
	at := i.readFailedAt.Load()
	if at == 0 {
		return 0
	}
	return max(1, time.Duration(i.instant(time.Now())-at).Milliseconds())
}

// startLapseGrace starts the period in which removed server entries count as lapsed, if
// the copy of the server entries is updated after the store was unavailable. An old copy
// alone is no evidence of that: the instance that reads the store for the others may have
// been frozen or killed.
func (i *Instance) startLapseGrace(stream string) {
	confirmedAt := i.feeds.Queries().State(stream).ConfirmedAt
	if stream != platform.ServerStream || confirmedAt.IsZero() || time.Since(confirmedAt) <= unavailableAge {
		return
	}
	now := time.Now()
	own, reported := i.readFailedAt.Load(), i.reportedFailureAt.Load()
	isStarted := max(own, reported) > i.instant(confirmedAt)
	if isStarted {
		i.lapseGraceUntil.Store(i.instant(now.Add(lapseGrace)))
	}
	ageMs := now.Sub(confirmedAt).Milliseconds()
	if ageMs > maxConfirmedAge.Milliseconds() {
		ageMs = -1
	}
	i.Logger.Write(event.LapseDecided, ageMs, i.sinceInstantMs(own, now), i.sinceInstantMs(reported, now), isStarted)
}

// sinceInstantMs returns the time since an instant in milliseconds, or -1 for none.
func (i *Instance) sinceInstantMs(instant int64, now time.Time) int64 {
	if instant == 0 {
		return -1
	}
	return time.Duration(i.instant(now) - instant).Milliseconds()
}
