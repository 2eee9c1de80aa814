// Package lock provides mutexes with a rank. A goroutine may lock a mutex only if
// its rank is higher than that of every mutex it already holds, so that no two
// goroutines can deadlock. Builds with the tag lockcheck panic on a violation;
// other builds check nothing and have no overhead.
package lock

import "sync"

// The ranks of all tables, in the order in which a goroutine may lock them.
const (
	RankFeed        = 5
	RankServerSync  = 7
	RankCatalogue   = 10
	RankOwnership   = 20
	RankMember      = 30
	RankPreparation = 35
	RankAdmission   = 37
	RankDispatch    = 40
	RankBatch       = 45
	RankBackend     = 50
	RankEngine      = 55
	RankQuarantine  = 57
	RankRollout     = 58
	RankRequest     = 60
	RankClaim       = 70
	RankPrecedence  = 80
	RankPeer        = 85
	RankIntake      = 87
	RankDrain       = 88
	RankCounter     = 90
	RankEvent       = 95
)

// Ranked is a mutex with a rank. Create it with New.
type Ranked struct {
	rank int
	name string
	mu   sync.Mutex
}

// New returns an unlocked mutex with the given rank. The name appears in the
// panic message of a violation.
func New(rank int, name string) *Ranked {
	return &Ranked{rank: rank, name: name}
}

// Lock locks the mutex.
func (r *Ranked) Lock() {
	r.checkOrder()
	r.mu.Lock()
	r.recordHeld()
}

// Unlock unlocks the mutex.
func (r *Ranked) Unlock() {
	r.recordReleased()
	r.mu.Unlock()
}
