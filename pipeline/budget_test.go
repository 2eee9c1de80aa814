package pipeline

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against second sends that use up the retries for failures.
func TestWithdrawSpare(t *testing.T) {
	is := is.New(t)
	b := NewBudget(1, 10)
	spare := 0
	for b.WithdrawSpare() {
		spare++
	}
	is.Equal(spare, 5)
	for range 5 {
		is.True(b.Withdraw())
	}
	is.True(!b.Withdraw())
}
