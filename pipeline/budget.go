package pipeline

import "lycheecrank.example/lock"

// Budget limits retries to a fraction of the requests, so that retries do not
// multiply the load during a fault. Concurrent calls are safe.
type Budget struct {
	perRequest float64
	burst      float64
	// reserve is added to the maximum.
	reserve float64
	mu      *lock.Ranked
	tokens  float64
}

// NewBudget returns a full budget. Each request adds perRequest retries to it, up
// to a maximum of burst.
func NewBudget(perRequest, burst float64) *Budget {
	return &Budget{perRequest: perRequest, burst: burst, tokens: burst, mu: lock.New(lock.RankCounter, "budget")}
}

// SetLimits changes the number of retries that each request adds and the maximum.
func (b *Budget) SetLimits(perRequest, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.perRequest, b.burst = perRequest, burst
	b.tokens = min(b.tokens, b.burst+b.reserve)
}

// SetReserve raises the maximum above the burst, so that retries which requests add are kept
// for a time in which many are needed at once. Their total stays the same.
func (b *Budget) SetReserve(reserve float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserve = reserve
	b.tokens = min(b.tokens, b.burst+b.reserve)
}

// Deposit adds perRequest retries for one admitted request.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst+b.reserve, b.tokens+b.perRequest)
}

// Withdraw removes one retry and reports whether one was available.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// reservedShare is the share of the maximum that WithdrawSpare leaves for retries after
// failures. Without it, requests failed for want of retries that second sends had used.
const reservedShare = 0.5

// WithdrawSpare is Withdraw for a send that is not needed after a failure.
func (b *Budget) WithdrawSpare() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1+reservedShare*b.burst {
		return false
	}
	b.tokens--
	return true
}
