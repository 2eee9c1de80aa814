package scenario

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"lycheecrank.example/lock"
)

const (
	// checkEvery is the time between two health checks. It stays well below the
	// 3 s that a leaving instance gives its balancer.
	checkEvery = 250 * time.Millisecond
	checkLimit = time.Second
)

// balancer sends requests in turn to the instances whose last health check
// succeeded, as the balancer before the instances does.
type balancer struct {
	scene     *scene
	instances []string

	mu    *lock.Ranked
	ready []string
	next  int
}

func newBalancer(s *scene, instances []string) *balancer {
	return &balancer{scene: s, instances: instances, mu: lock.New(rankPart, "balancer")}
}

// run checks the instances until the context ends.
func (b *balancer) run(ctx context.Context) {
	for ctx.Err() == nil {
		b.check(ctx)
		b.scene.pause(checkEvery)
	}
}

// check asks all instances at once, so that a frozen one delays no other.
func (b *balancer) check(ctx context.Context) {
	answers := make(chan string, len(b.instances))
	for _, name := range b.instances {
		b.scene.group.Go(func() error {
			if !b.isReady(ctx, name) {
				name = ""
			}
			answers <- name
			return nil
		})
	}
	var ready []string
	for range b.instances {
		if name := <-answers; name != "" {
			ready = append(ready, name)
		}
	}
	slices.Sort(ready)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

func (b *balancer) isReady(ctx context.Context, name string) bool {
	address, err := b.scene.address(name)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, checkLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/health/ready", nil)
	if err != nil {
		return false
	}
	res, err := b.scene.client.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// choose returns the instance for the next request, or "".
func (b *balancer) choose() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return ""
	}
	b.next++
	return b.ready[b.next%len(b.ready)]
}
