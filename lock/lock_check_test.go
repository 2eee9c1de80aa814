//go:build lockcheck

package lock_test

import (
	"testing"

	"github.com/matryer/is"

	"lycheecrank.example/lock"
)

// Guards against a lockcheck build that accepts two tables locked in both orders,
// which can deadlock.
func TestLockOutOfOrderPanics(t *testing.T) {
	is := is.New(t)
	low := lock.New(lock.RankCatalogue, "catalogue")
	high := lock.New(lock.RankClaim, "claim")

	low.Lock()
	high.Lock()
	high.Unlock()
	low.Unlock()

	high.Lock()
	defer high.Unlock()
	defer func() {
		is.Equal(recover(), "lock: catalogue (rank 10) locked while holding claim (rank 70)")
	}()
	low.Lock()
}
