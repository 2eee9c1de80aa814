package claim

import (
	"time"

	"lycheecrank.example/lock"
)

// defaultMaxResultBytes is the default of Table.MaxResultBytes. It is well
// below the 64 MB that an instance may use for control data.
const defaultMaxResultBytes = 16 << 20

// Table holds the states of the keys in the claim streams. Commands modifies it
// and Queries reads it. Set the exported fields before use.
type Table struct {
	// Window limits the usable keys. The default is DefaultWindow.
	Window Window
	// MaxResultBytes limits the bytes of all stored outputs. When they exceed it, the
	// oldest outputs are dropped, and their results keep only digest and length.
	// 0 means 16 MiB.
	MaxResultBytes int

	mu      *lock.Ranked
	streams [StreamCount]stream
	// localClaims holds the claims of this process that are undecided, or that
	// are abandoned and not yet released.
	localClaims map[ID]*localClaim
	// releases holds the outcome records to append for abandoned claims that are
	// active.
	releases []Record
	// releaseAdded signals that releases is not empty.
	releaseAdded chan struct{}
	// resultKeys lists the keys with stored outputs, oldest first.
	resultKeys  []Key
	resultBytes int
}

// stream is this instance's view of one claim stream.
type stream struct {
	isStarted bool
	// appliedThrough is the offset of the last applied record.
	appliedThrough uint64
	// completeSince is a key timestamp. All records of keys with this or a later
	// timestamp have been read, up to appliedThrough.
	completeSince time.Time
	// statesByMinute groups the states by the minute of the key's timestamp, so
	// that all keys of a minute expire together.
	statesByMinute map[int64]map[Key]State
}

// localClaim is a claim of this process that is undecided, or that is abandoned
// and not yet released.
type localClaim struct {
	record Record
	// applied is closed when the claim record has been applied.
	applied     chan struct{}
	isApplied   bool
	isAbandoned bool
	// isReleaseQueued is true once the outcome record that releases the claim has
	// been added to Table.releases. The record need not be in the log yet.
	isReleaseQueued bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{
		Window:       DefaultWindow,
		mu:           lock.New(lock.RankClaim, "claim"),
		localClaims:  map[ID]*localClaim{},
		releaseAdded: make(chan struct{}, 1),
	}
	for n := range t.streams {
		t.streams[n].statesByMinute = map[int64]map[Key]State{}
	}
	return t
}

func minuteOf(t time.Time) int64 { return t.Unix() / 60 }

func (s *stream) state(k Key) (State, bool) {
	st, ok := s.statesByMinute[minuteOf(k.Time())][k]
	return st, ok
}

func (s *stream) setState(k Key, st State) {
	m := minuteOf(k.Time())
	if s.statesByMinute[m] == nil {
		s.statesByMinute[m] = map[Key]State{}
	}
	s.statesByMinute[m][k] = st
}

// hasAllRecords reports whether all records of a key up to appliedThrough have
// been applied.
func (s *stream) hasAllRecords(k Key) bool {
	return s.isStarted && !k.Time().Before(s.completeSince)
}

func (s *stream) raiseCompleteSince(t time.Time) {
	if t.After(s.completeSince) {
		s.completeSince = t
	}
}
