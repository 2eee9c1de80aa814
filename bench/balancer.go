package bench

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheecrank.example/lock"
)

// Balancer chooses instances round robin among those whose /health/ready
// answers 200, as the platform's balancer does. Create it with NewBalancer.
type Balancer struct {
	// IsReady asks an instance.
	IsReady func(ctx context.Context, address string) bool

	addresses []string
	mu        *lock.Ranked
	ready     []string
	turn      atomic.Uint64
}

const (
	readyEvery   = time.Second
	readyTimeout = 500 * time.Millisecond
)

// NewBalancer returns a balancer that knows of no ready instance yet.
func NewBalancer(client *http.Client, addresses []string) *Balancer {
	return &Balancer{
		addresses: addresses, mu: lock.New(rankTally+1, "bench balancer"),
		IsReady: func(ctx context.Context, address string) bool { return isReady(ctx, client, address) },
	}
}

func isReady(ctx context.Context, client *http.Client, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/health/ready", nil)
	if err != nil {
		return false
	}
	res, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Run checks the instances once a second until the context ends.
func (b *Balancer) Run(ctx context.Context) {
	ticker := time.NewTicker(readyEvery)
	defer ticker.Stop()
	for {
		b.Check(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Check asks all instances once.
func (b *Balancer) Check(ctx context.Context) {
	answers := make([]bool, len(b.addresses))
	var group errgroup.Group
	for n, address := range b.addresses {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, readyTimeout)
			defer cancel()
			answers[n] = b.IsReady(ctx, address)
			return nil
		})
	}
	_ = group.Wait()
	var ready []string
	for n, ok := range answers {
		if ok {
			ready = append(ready, b.addresses[n])
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// Ready returns the ready instances.
func (b *Balancer) Ready() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.ready)
}

// Choose returns the next ready instance, "" if there is none.
func (b *Balancer) Choose() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return ""
	}
	return b.ready[int(b.turn.Add(1)%uint64(len(b.ready)))]
}
