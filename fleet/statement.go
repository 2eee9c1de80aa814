package fleet

import "time"

// Process identifies one process of a backend server. A server that starts again under its
// ID is another process.
type Process struct {
	ServerID string `msgpack:"server"`
	Address  string `msgpack:"address"`
	// StartedUnixMilli is the start time that the process reports, 0 if it reports none.
	StartedUnixMilli int64 `msgpack:"started"`
}

// statement is what a process has said about itself in its answers. It holds whether or not
// the process is listed at the time: its entry may be removed before the answer arrives and
// be back after it, because the store may execute a write late.
type statement struct {
	// leavingAt is when the process last said that it is leaving, zero if it never has.
	leavingAt time.Time
	// pausedUntil is the end of the time in which the process wants no requests of this
	// instance.
	pausedUntil time.Time
}

const (
	// maxStatements bounds the statements of processes that aren't listed.
	maxStatements = 4096
	// unnamedLeavingPeriod is how long a process without a start time counts as leaving
	// after it last said so. The next process of the server can't be told from it.
	unnamedLeavingPeriod = 30 * time.Second
	// recentPeriod is how long other instances may still need the statement of a process
	// that isn't listed: it serves on for some time, and the store may execute a write of
	// its entry late.
	recentPeriod = 2 * time.Minute
)

// isLeaving reports whether the process of the statement is leaving.
func (s statement) isLeaving(p Process, now time.Time) bool {
	return !s.leavingAt.IsZero() && (p.StartedUnixMilli != 0 || now.Sub(s.leavingAt) < unnamedLeavingPeriod)
}

// isPaused reports whether the process of the statement wants no requests.
func (s statement) isPaused(now time.Time) bool { return now.Before(s.pausedUntil) }

// withLeaving returns the statement of a process that says at a time that it is leaving.
func (s statement) withLeaving(at time.Time) statement {
	s.leavingAt = at
	return s
}

// withPause returns the statement of a process that wants no requests until a time.
func (s statement) withPause(until time.Time) statement {
	if s.pausedUntil.Before(until) {
		s.pausedUntil = until
	}
	return s
}

// withStatement returns the list with the updated statement of a process, without the
// statements that no longer have an effect.
func (l List) withStatement(p Process, now time.Time, update func(statement) statement) List {
	next := make(map[Process]statement, len(l.statements)+1)
	for q, s := range l.statements {
		if s.isLeaving(q, now) || s.isPaused(now) {
			next[q] = s
		}
	}
	next[p] = update(next[p])
	if len(next) > maxStatements {
		l.evictOldest(next, p)
	}
	l.statements = next
	return l
}

// evictOldest removes the oldest statement of a process that isn't listed, other than that
// of the process to keep.
func (l List) evictOldest(statements map[Process]statement, keep Process) {
	var oldest Process
	for p, s := range statements {
		if l.isListed(p) || p == keep {
			continue
		}
		if oldest == (Process{}) || s.leavingAt.Before(statements[oldest].leavingAt) {
			oldest = p
		}
	}
	delete(statements, oldest)
}

// isListed reports whether the newest entry of a server describes a process.
func (l List) isListed(p Process) bool {
	s, ok := l.servers[p.ServerID]
	return ok && s.Process() == p
}

// isLeaving reports whether the process that an entry describes has said that it is leaving.
func (l *List) isLeaving(s Server, now time.Time) bool {
	p := s.Process()
	return l.statements[p].isLeaving(p, now)
}

// isPaused reports whether the process that an entry describes wants no requests of this
// instance.
func (l *List) isPaused(s Server, now time.Time) bool {
	return l.statements[s.Process()].isPaused(now)
}
