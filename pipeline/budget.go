package pipeline

import "lycheecrank.example/lock"

// Budget limits retries to a share of the requests, so that retries don't
// multiply a fault. Concurrent calls are safe.
type Budget struct {
	perRequest float64
	burst      float64
	mu         *lock.Ranked
	tokens     float64
}

// NewBudget returns a budget in which each request earns a number of retries,
// and which saves up at most burst. It starts full.
func NewBudget(perRequest, burst float64) *Budget {
	return &Budget{perRequest: perRequest, burst: burst, tokens: burst, mu: lock.New(lock.RankCounter, "budget")}
}

// Set changes what each request earns and how much is saved up at most.
func (b *Budget) Set(perRequest, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.perRequest, b.burst = perRequest, burst
	b.tokens = min(b.tokens, burst)
}

// Earn adds what one request earns.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.perRequest)
}

// Take spends one retry and reports whether there was one.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
