package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheecrank.example/platform"
	"lycheecrank.example/standin/link"
	"lycheecrank.example/standin/site"
)

// kinds of workers, with two of each.
var pools = []string{"registry", "models", "encode", "rerank"}

// load has the number of clients, the deadline of their requests, and for each worker the
// requests that it runs at a time and its pause before each event or answer.
type load struct {
	clients, slots        int
	workerPause, deadline time.Duration
}

// soakSite is a store, workers and instances with links between them.
type soakSite struct {
	t         *testing.T
	load      load
	store     *site.Store
	workers   map[string]*site.Worker
	links     map[string]*link.Link
	instances []*instance
	group     errgroup.Group

	mu sync.Mutex
	// version is that of the configuration, key the newest key of the clients, which
	// all have beside key-1.
	version int
	key     string
	// orderTimeout is the timeout of orders.
	orderTimeout time.Duration
	// starts counts the starts of each worker, sequence the writes of entries. entries and
	// configuration hold what was written last.
	starts        map[string]int
	sequence      int
	entries       map[string]map[string]any
	configuration map[string]any
	// faults tells what was done and when, for the report.
	faults []string
	began  time.Time
	// stops are the planned stops, disturbed the times of other faults of the instances.
	stops, disturbed []span
}

func newSoakSite(ctx context.Context, t *testing.T, instances int, l load) *soakSite {
	s := &soakSite{t: t, load: l, store: site.NewStore(), workers: map[string]*site.Worker{}, links: map[string]*link.Link{}, starts: map[string]int{}, entries: map[string]map[string]any{}, began: time.Now(), key: "key-0", orderTimeout: 2 * time.Second}
	t.Cleanup(s.close)
	for _, pool := range pools {
		for n := range 2 {
			w := site.NewWorker(fmt.Sprintf("%s-%d", pool, n+1))
			w.Pause = s.load.workerPause
			if pool == "models" {
				w.Events, w.NeedsInputs = wholeEvents, true
			}
			s.workers[w.ID] = w
			s.links[w.ID] = s.newLink(ctx, w.Address())
			s.list(pool, w.ID, "ready")
			w.OnCrash = func() { s.list(pool, w.ID, "ready") }
		}
	}
	s.configure("key-0")
	var seeds []string
	for n := range instances {
		i := newInstance(t.TempDir(), fmt.Sprint("n", n+1))
		i.store, i.clients = s.newLink(ctx, s.store.Address()), s.newLink(ctx, i.front)
		s.instances = append(s.instances, i)
		seeds = append(seeds, i.peers)
	}
	for _, i := range s.instances {
		if err := i.writeSettings(seeds); err != nil {
			t.Fatal(err)
		}
		s.start(i)
	}
	return s
}

// list writes the entry of a worker. Each time that it is ready, it is a new process.
func (s *soakSite) list(pool, id, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == "ready" {
		s.starts[id]++
	}
	s.entries[id] = map[string]any{
		"service": pool, "address": s.links[id].Address(), "zone": "a", "version": "v1", "slots": s.load.slots, "state": state, "coldRemainingMs": 0, "born": s.starts[id],
	}
	s.writeEntry(id)
}

// writeEntry writes the entry of a worker with the next sequence number. The caller holds the
// lock.
func (s *soakSite) writeEntry(id string) {
	s.sequence++
	s.entries[id]["sequence"] = s.sequence
	s.store.PutJSON(platform.ServerStream, id, s.entries[id])
}

// writeAgain writes what the operator and the workers wrote last.
func (s *soakSite) writeAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.PutJSON(platform.OperatorStream, platform.ConfigurationKey, s.configuration)
	for _, id := range slices.Sorted(maps.Keys(s.entries)) {
		s.writeEntry(id)
	}
}

func (s *soakSite) newLink(ctx context.Context, target string) *link.Link {
	l, err := link.New(ctx, target)
	if err != nil {
		s.t.Fatal(err)
	}
	return l
}

func (s *soakSite) start(i *instance) {
	if err := i.start(&s.group); err != nil {
		s.t.Error(err)
	}
}

// close ends what the soak has started.
func (s *soakSite) close() {
	for _, i := range s.instances {
		i.process.kill()
		i.clients.Close()
		i.store.Close()
	}
	if err := s.group.Wait(); err != nil {
		s.t.Error(err)
	}
	for id, w := range s.workers {
		s.links[id].Close()
		w.CloseClientConnections()
		w.Close()
	}
	s.store.CloseClientConnections()
	s.store.Close()
}

// configure writes the next version of the configuration, with a key beside key-1.
func (s *soakSite) configure(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.key = key
	pieces := map[string]any{"slots": 2, "batch": 8, "callMs": 10, "itemMs": 1, "headroomMb": 1, "handleS": 5}
	s.configuration = map[string]any{
		"version": s.version,
		"routes": []map[string]any{
			{"name": "order", "host": "shop.example", "pathPrefix": "/order/", "kind": "unsafe", "service": "registry", "maxAttempts": 1, "timeoutMs": s.orderTimeout.Milliseconds()},
			{"name": "lookup", "host": "shop.example", "pathPrefix": "/lookup/", "kind": "safe", "service": "registry", "maxAttempts": 2, "timeoutMs": 2000},
			{
				"name": "draft", "host": "shop.example", "pathPrefix": "/draft/", "kind": "streaming", "service": "models", "maxAttempts": 2,
				"timeoutMs": s.load.deadline.Milliseconds(), "targetLatencyMs": 800, "streamResume": true,
				"stages": []map[string]any{{"service": "encode", "bytes": 1000}, {"service": "rerank", "after": []int{0}, "bytes": 1000}},
			},
		},
		"tenants": []map[string]any{{"name": "parents", "apiKeys": []string{"key-1", key}}},
		"services": []map[string]any{
			{"name": "registry"},
			{"name": "models", "engine": map[string]any{"slots": s.load.slots, "kvCapacity": 100000, "kvTokenBytes": 100}},
			{"name": "encode", "pieces": pieces},
			{"name": "rerank", "pieces": pieces},
		},
	}
	s.store.PutJSON(platform.OperatorStream, platform.ConfigurationKey, s.configuration)
}

// note writes a fault down for the report.
func (s *soakSite) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf("%6.2f s  %s", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...)))
}

// balance asks an instance whether it is ready, as the platform's balancer does: each
// second, gone after two misses.
func (s *soakSite) balance(ctx context.Context, i *instance) error {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 0
	for ctx.Err() == nil {
		misses++
		if i.answersReady(client) {
			misses = 0
		}
		i.isReady.Store(misses < 2)
		pause(ctx, time.Second)
	}
	return nil
}

// pick returns an instance that takes clients.
func (s *soakSite) pick(r *rand.Rand) *instance {
	for _, n := range r.Perm(len(s.instances)) {
		if s.instances[n].isReady.Load() {
			return s.instances[n]
		}
	}
	return s.instances[r.IntN(len(s.instances))]
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
