package claim

import (
	"time"

	"lycheecrank.example/lock"
)

// defaultResultLimit keeps the results well inside the 64 MB that an instance
// may spend on control.
const defaultResultLimit = 16 << 20

// Table holds the states of keys that the claim streams tell of. Commands
// changes it, Queries reads it. Set the exported fields before use.
type Table struct {
	// Window is DefaultWindow unless set otherwise.
	Window Window
	// ResultLimit bounds the bytes of all results held. Above it the oldest
	// results are kept by digest and length only. 0 means 16 MiB.
	ResultLimit int

	mu      *lock.Ranked
	streams [Streams]stream
	// watches holds the undecided and the abandoned claims of this process.
	watches map[ID]*watch
	// withdrawals are outcomes to append for abandoned claims that stand.
	withdrawals []Record
	// withdrawn wakes the reader of withdrawals.
	withdrawn chan struct{}
	// results lists the keys with stored results, oldest first.
	results     []Key
	resultBytes int
}

// stream is the view of one claim stream.
type stream struct {
	begun   bool
	through uint64
	// since is the time from which on the records of every key were read.
	since time.Time
	// minutes holds the states by the minute of the key, so that a minute
	// expires as a whole.
	minutes map[int64]map[Key]State
}

// watch follows a claim of this process until it is decided, or given back
// after it was abandoned.
type watch struct {
	record    Record
	applied   chan struct{}
	isApplied bool
	abandoned bool
	withdrawn bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{
		Window:    DefaultWindow,
		mu:        lock.New(lock.RankClaim, "claim"),
		watches:   map[ID]*watch{},
		withdrawn: make(chan struct{}, 1),
	}
	for n := range t.streams {
		t.streams[n].minutes = map[int64]map[Key]State{}
	}
	return t
}

func minuteOf(t time.Time) int64 { return t.Unix() / 60 }

func (s *stream) state(k Key) (State, bool) {
	st, ok := s.minutes[minuteOf(k.Time())][k]
	return st, ok
}

func (s *stream) swap(k Key, st State) {
	m := minuteOf(k.Time())
	if s.minutes[m] == nil {
		s.minutes[m] = map[Key]State{}
	}
	s.minutes[m][k] = st
}

// isComplete reports whether every record of a key up to through was read.
func (s *stream) isComplete(k Key) bool {
	return s.begun && !k.Time().Before(s.since)
}

func (s *stream) raiseSince(t time.Time) {
	if t.After(s.since) {
		s.since = t
	}
}
