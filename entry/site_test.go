package entry

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/cell"
	"lycheecrank.example/membership"
	"lycheecrank.example/platform"
	"lycheecrank.example/standin/link"
	"lycheecrank.example/standin/site"
)

// waitTimeout bounds a wait for a condition. It is far below the time limit of go test,
// so that a test whose condition isn't met in time reports what it waited for.
const waitTimeout = 2 * time.Minute

// testSite is a store, two workers of each pool and several instances. A worker is a
// stand-in of a backend server.
type testSite struct {
	t          *testing.T
	store      *site.Store
	workers    map[string]*site.Worker
	instances  []*testInstance
	version    int
	routes     []map[string]any
	workspaces []map[string]any
	// dataCentres holds the data centres of workers and instances by ID; the others are
	// in "a".
	dataCentres map[string]string
	// encodeTime is the time of a call to a server of the pool "encode".
	encodeTime time.Duration
	// divide replaces the division of the site into cells; it may be nil.
	divide func(current cell.Layout, instances int, pools map[string]map[string]int) cell.Layout
	// rolloutBounds has the bounds of rollouts of the instances, zero for none.
	rolloutBounds platform.Settings
	// restarts counts the announced restarts of workers, sequence all announcements.
	restarts map[string]int
	sequence atomic.Int64
	// modify changes each instance before it runs; it may be nil.
	modify func(i *Instance)
}

// testInstance is a running instance of a test site.
type testInstance struct {
	*Instance
	stop context.CancelFunc
	done chan error
	// log may be read after the instance has stopped.
	log *bytes.Buffer
}

func newTestSite(t *testing.T) *testSite {
	s := &testSite{t: t, store: site.NewStore(), workers: map[string]*site.Worker{}, dataCentres: map[string]string{}, restarts: map[string]int{}, encodeTime: 10 * time.Millisecond}
	t.Cleanup(s.store.Close)
	for _, pool := range []string{"registry", "models", "encode", "rerank"} {
		for n := range 2 {
			s.addWorker(fmt.Sprintf("%s-%d", pool, n+1), pool)
		}
	}
	s.routes = []map[string]any{
		{"name": "order", "host": "shop.example", "pathPrefix": "/order/", "kind": "unsafe", "service": "registry", "maxAttempts": 1, "timeoutMs": 5000},
		{"name": "lookup", "host": "shop.example", "pathPrefix": "/lookup/", "kind": "safe", "service": "registry", "maxAttempts": 2, "timeoutMs": 5000},
		{
			"name": "draft", "host": "shop.example", "pathPrefix": "/draft/", "kind": "streaming", "service": "models", "maxAttempts": 2,
			"timeoutMs": 20000, "targetLatencyMs": 5000, "streamResume": true,
			"stages": []map[string]any{{"service": "encode", "bytes": 1000}, {"service": "rerank", "after": []int{0}, "bytes": 1000}},
		},
	}
	s.routes = append(s.routes, map[string]any{
		"name": "chat", "host": "shop.example", "pathPrefix": "/chat/", "kind": "streaming", "service": "models", "maxAttempts": 1,
		"timeoutMs": 20000, "targetLatencyMs": 5000, "stages": []map[string]any{{"service": "encode", "bytes": 1000}},
	})
	s.workspaces = []map[string]any{{"name": "parents", "apiKeys": []string{"key-1"}}}
	s.configure()
	return s
}

// addWorker starts a worker and writes its entry. After a crash it is a new process.
func (s *testSite) addWorker(id, pool string) {
	w := site.NewWorker(id)
	s.t.Cleanup(w.Close)
	w.Pause = 10 * time.Millisecond
	if pool == "models" {
		w.Events, w.NeedsInputs = 5, true
	}
	w.OnCrash = func() { s.announce(id, pool, "ready") }
	s.workers[id] = w
	s.announce(id, pool, "ready")
}

// announce writes the entry of a worker. A worker that was draining is ready again only as
// another process.
func (s *testSite) announce(id, pool, state string) {
	s.store.PutJSON(platform.ServerStream, id, map[string]any{
		"service": pool, "address": s.workers[id].Address(), "zone": s.dataCentreOf(id), "version": "v1", "slots": 4, "state": state, "coldRemainingMs": 0, "sequence": s.sequence.Add(1),
		"born": s.bornAt(s.workers[id]),
	})
}

// bornAt returns the start time of the present process of a worker, in Unix milliseconds.
func (s *testSite) bornAt(w *site.Worker) int64 {
	return int64(1_000_000 + w.Crashes() + s.restarts[w.ID])
}

// dataCentreOf returns the data centre of a worker or an instance.
func (s *testSite) dataCentreOf(id string) string { return cmp.Or(s.dataCentres[id], "a") }

// configure writes the next version of the configuration.
func (s *testSite) configure() {
	s.version++
	// The result memory is so small that each result takes a third of it: results are
	// released at their stage servers only while memory is short.
	pieces := func(callTime time.Duration) map[string]any {
		return map[string]any{"slots": 1, "batch": 8, "callMs": callTime.Milliseconds(), "itemMs": 1, "headroomMb": 0.003, "handleS": 10}
	}
	s.store.PutJSON(platform.OperatorStream, platform.ConfigurationKey, map[string]any{
		"version": s.version, "routes": s.routes, "tenants": s.workspaces,
		"services": []map[string]any{
			{"name": "registry"},
			{"name": "models", "engine": map[string]any{"slots": 8, "kvCapacity": 100000, "kvTokenBytes": 100}},
			{"name": "encode", "pieces": pieces(s.encodeTime)},
			{"name": "rerank", "pieces": pieces(10 * time.Millisecond)},
		},
	})
}

// start starts instances and waits until they are ready and reach each other.
func (s *testSite) start(names ...string) {
	s.t.Helper()
	for _, name := range names {
		s.instances = append(s.instances, s.startInstance(name))
	}
	for _, n := range s.instances {
		s.waitFor(n.Settings.Name+" reaches all instances", func() bool { return len(n.view().Reachable(time.Now())) == len(s.instances)-1 })
	}
}

// startInstance starts an instance and waits until it is ready.
func (s *testSite) startInstance(name string) *testInstance {
	s.t.Helper()
	log := &bytes.Buffer{}
	i := New(platform.Settings{
		Name: name, DataCentre: s.dataCentreOf(name), ClientAddress: link.NewAddress(), ReadinessAddress: link.NewAddress(), PeerAddress: link.NewAddress(),
		StoreAddress: s.store.Address(), DrainGrace: 8 * time.Second, RetryRatio: 1, RetrySlack: 100,
		ExposureShare: s.rolloutBounds.ExposureShare, ExposureSlack: s.rolloutBounds.ExposureSlack, RollbackTime: s.rolloutBounds.RollbackTime,
	}, log)
	if s.divide != nil {
		i.Divide = s.divide
	}
	if s.modify != nil {
		s.modify(i)
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &testInstance{Instance: i, stop: stop, done: make(chan error, 1), log: log}
	var group errgroup.Group
	group.Go(func() error {
		n.done <- i.Run(ctx)
		return nil
	})
	s.t.Cleanup(func() {
		stop()
		_ = group.Wait()
	})
	var err error
	s.waitFor(name+" is ready", func() bool {
		select {
		case err = <-n.done:
			return true
		default:
			return n.readyStatus() == http.StatusOK
		}
	})
	if err != nil {
		s.t.Fatalf("%s ended: %v", name, err)
	}
	return n
}

func (s *testSite) waitFor(what string, met func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !met() {
		if time.Now().After(deadline) {
			s.t.Fatal("timed out waiting until " + what)
		}
		pause(s.t.Context(), 5*time.Millisecond)
	}
}

func (n *testInstance) readyStatus() int {
	res, err := http.Get("http://" + n.Settings.ReadinessAddress + "/readyz")
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

func (s *testSite) runs(pool string) []site.Run {
	return append(s.workers[pool+"-1"].Runs(), s.workers[pool+"-2"].Runs()...)
}

func (s *testSite) setFault(pool string, f site.Fault) {
	s.workers[pool+"-1"].SetFault(f)
	s.workers[pool+"-2"].SetFault(f)
}

func wholeStream() string {
	var b strings.Builder
	for n := 1; n <= 5; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", n, n)
	}
	return b.String()
}

// Guards against a broken path between a client and a worker: routing, keys, headers,
// stages, streams, and results that stay in the memory of stage servers.
func TestPath(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newTestSite(t)
	s.start("n1", "n2", "n3")
	for _, n := range s.instances {
		status, body, header := n.send("POST", "/order/7?x=1%20y", "key-1")
		is.Equal(status, 200)
		is.True(strings.HasPrefix(body, "answer of registry"))
		is.True(strings.HasPrefix(header.Get("Response-Seal"), "seal-of-registry"))
		status, body, _ = n.send("POST", "/draft/7", "key-1")
		is.Equal(status, 200)
		is.Equal(body, wholeStream())
		status, _, _ = n.send("GET", "/nothing/7", "key-1")
		is.Equal(status, 404)
		status, _, _ = n.send("POST", "/order/7", "key-2")
		is.Equal(status, 401)
	}
	runs := append(s.runs("registry"), s.runs("models")...)
	is.Equal(len(runs), 6)
	for _, r := range runs {
		is.Equal(r.Body, "helmet")
		is.Equal(r.Header.Get("Tenant"), "parents")
		is.Equal(r.Header.Get("Authorization"), "")
		is.Equal(r.Header.Get("Kv-Hold"), "")
		is.True(r.Header.Get("Expect-Instance") != "")
		is.True(r.Path == "/order/7?x=1%20y" || strings.HasPrefix(r.Path, "/draft/"))
	}
	s.waitFor("all results are released", func() bool {
		return len(s.workers["encode-1"].Kept())+len(s.workers["encode-2"].Kept())+len(s.workers["rerank-1"].Kept())+len(s.workers["rerank-2"].Kept()) == 0
	})
}

// Guards against requests that run twice, incorrect refusals and streams that are
// joined incorrectly when workers fail.
func TestWorkerFaults(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newTestSite(t)
	s.start("n1")
	n := s.instances[0]
	s.setFault("registry", site.Fault{LosesAnswers: true})
	status, _, _ := n.send("POST", "/order/1", "key-1")
	is.Equal(status, 502)
	is.Equal(len(s.runs("registry")), 1)
	s.setFault("registry", site.Fault{HasForeignID: true})
	status, _, _ = n.send("POST", "/order/1", "key-1")
	is.Equal(status, 502)
	s.setFault("registry", site.Fault{IsFull: true})
	before := len(s.runs("registry"))
	status, _, header := n.send("POST", "/order/1", "key-1")
	is.Equal(status, 503)
	is.True(header.Get("Retry-After") != "")
	is.Equal(len(s.runs("registry")), before)
	s.setFault("registry", site.Fault{Status: 500})
	status, _, header = n.send("POST", "/order/1", "key-1")
	is.Equal(status, 500)
	is.True(header.Get("Response-Seal") != "") // the worker's own answer
	s.workers["models-1"].SetFault(site.Fault{CutAfter: 2})
	s.workers["models-2"].SetFault(site.Fault{CutAfter: 4})
	status, body, _ := n.send("POST", "/draft/1", "key-1")
	is.Equal(status, 200)
	is.Equal(body, wholeStream())
	s.setFault("models", site.Fault{CutAfter: 1})
	status, body, _ = n.send("POST", "/draft/1", "key-1")
	is.Equal(status, 0) // cut twice: the client sees that the stream is truncated
	is.Equal(body, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
}

// Guards against changes that reach an instance late or not at all: keys and routes,
// draining servers, evacuated data centres and expired history. While the store is
// unavailable, known routes stay in use.
func TestChanges(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newTestSite(t)
	s.start("n1", "n2")
	s.workspaces[0]["apiKeys"] = []string{"key-2"}
	s.configure()
	for _, n := range s.instances {
		s.waitFor("the new key is in force", func() bool {
			status, _, _ := n.send("GET", "/lookup/1", "key-2")
			return status == 200
		})
		status, _, _ := n.send("GET", "/lookup/1", "key-1")
		is.Equal(status, 401)
	}
	s.announce("registry-1", "registry", "draining")
	for _, n := range s.instances {
		s.waitFor("the draining server gets no new work", func() bool { return len(n.fleet.Queries().Usable(time.Now())["registry"]) == 1 })
	}
	before := len(s.workers["registry-1"].Runs())
	for range 10 {
		s.instances[0].send("GET", "/lookup/1", "key-2")
	}
	is.Equal(len(s.workers["registry-1"].Runs()), before)
	s.store.Put(platform.ServerStream, "models-1", nil)
	s.store.Forget(platform.ServerStream)
	s.store.PutJSON(platform.OperatorStream, platform.EvacuationPrefix+"a", map[string]any{})
	for _, n := range s.instances {
		s.waitFor("the evacuation is in force", func() bool { return n.fleet.Queries().IsEvacuated("a") })
	}
	s.store.Put(platform.OperatorStream, platform.EvacuationPrefix+"a", nil)
	for _, n := range s.instances {
		s.waitFor("the evacuation has ended", func() bool { return !n.fleet.Queries().IsEvacuated("a") })
		s.waitFor("the removed engine gets no new work", func() bool { return len(n.fleet.Queries().Usable(time.Now())["models"]) == 1 })
	}
	s.store.SetDown(true)
	s.waitFor("the configuration is treated as stale", func() bool { return !s.instances[0].routes.Queries().IsCurrent(time.Now()) })
	status, _, _ := s.instances[0].send("GET", "/lookup/1", "key-2")
	is.Equal(status, 200) // known routes stay in use
	status, _, _ = s.instances[0].send("GET", "/nothing/1", "key-2")
	is.Equal(status, 503) // an unknown route may exist in a newer configuration
}

// Guards against a planned stop that cuts off requests, and against a stopping
// coordinator that aborts the preparations of other instances' requests.
func TestGracefulStop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newTestSite(t)
	s.start("n1", "n2", "n3")
	s.waitFor("all instances agree on the coordinator", func() bool {
		name := s.instances[0].view().Coordinator(membership.Scope{}, time.Now()).Name
		for _, n := range s.instances {
			if n.view().Coordinator(membership.Scope{}, time.Now()).Name != name {
				return false
			}
		}
		return true
	})
	name := s.instances[0].view().Coordinator(membership.Scope{}, time.Now()).Name
	var leaving, other *testInstance
	for _, n := range s.instances {
		if n.Settings.Name == name {
			leaving = n
		} else {
			other = n
		}
	}
	s.workers["models-1"].Pause = 100 * time.Millisecond
	s.workers["models-2"].Pause = 100 * time.Millisecond
	before := len(s.runs("models"))
	var group errgroup.Group
	answers := make(chan string, 8)
	for k := range 4 {
		n := leaving
		if k%2 == 0 {
			n = other
		}
		group.Go(func() error {
			status, body, _ := n.send("POST", "/draft/1", "key-1")
			answers <- fmt.Sprint(status, " ", body)
			return nil
		})
	}
	s.waitFor("all streams run at the engines", func() bool { return len(s.runs("models")) == before+4 })
	leaving.stop()
	s.waitFor("the leaving instance fails its readiness check", func() bool { return leaving.readyStatus() == http.StatusServiceUnavailable })
	s.waitFor("another instance is the coordinator", func() bool { return other.view().Coordinator(membership.Scope{}, time.Now()).Name != name })
	status, body, _ := other.send("POST", "/draft/1", "key-1")
	is.Equal(status, 200)
	is.Equal(body, wholeStream())
	status, _, header := leaving.send("GET", "/lookup/1", "key-1")
	is.Equal(status, 200) // clients that still connect are served
	is.Equal(header.Get("Connection"), "close")
	is.NoErr(<-leaving.done)
	is.Equal(leaving.attempts.Queries().Count(), 0)
	is.NoErr(group.Wait())
	for range 4 {
		is.Equal(<-answers, "200 "+wholeStream())
	}
}

// Guards against a request that continues at a worker after its client has
// disconnected.
func TestClientLeaves(t *testing.T) {
	t.Parallel()
	s := newTestSite(t)
	s.workers["models-1"].Pause = time.Second
	s.workers["models-2"].Pause = time.Second
	s.start("n1")
	client := &http.Client{Timeout: 700 * time.Millisecond}
	req, err := http.NewRequest("POST", "http://"+s.instances[0].Settings.ClientAddress+"/draft/1", strings.NewReader("helmet"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "shop.example"
	req.Header.Set("Attempt-Id", "gone")
	req.Header.Set("Authorization", "Token key-1")
	req.Header.Set("Pieces", "1,1")
	req.Header.Set("Piece-Key", "k")
	res, err := client.Do(req)
	if err == nil {
		_ = res.Body.Close()
		t.Fatal("the response arrived before the timeout of the client")
	}
	s.waitFor("the run at the engine is cancelled", func() bool {
		runs := s.runs("models")
		return len(runs) == 1 && runs[0].IsCut
	})
}

// Guards against a process that outlives its grace period because one of its tasks
// doesn't end. The platform would kill it with its requests in flight.
func TestStopDoesNotHang(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newTestSite(t)
	changed := make(chan os.Signal, 1)
	entered, block := make(chan struct{}, 1), make(chan struct{})
	defer close(block)
	i := New(platform.Settings{
		Name: "n1", DataCentre: "a", ClientAddress: link.NewAddress(), ReadinessAddress: link.NewAddress(), PeerAddress: link.NewAddress(),
		StoreAddress: s.store.Address(), DrainGrace: time.Second, RetryRatio: 1, RetrySlack: 100,
	}, io.Discard)
	i.ReloadSignal = changed
	i.Reload = func() (platform.Settings, error) {
		select {
		case entered <- struct{}{}:
		default:
		}
		<-block
		return i.Settings, nil
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	done := make(chan error, 1)
	var group errgroup.Group
	group.Go(func() error {
		done <- i.Run(ctx)
		return nil
	})
	changed <- syscall.SIGHUP
	<-entered
	stop()
	select {
	case err := <-done:
		is.NoErr(err)
	case <-time.After(waitTimeout):
		t.Fatal("the instance did not stop")
	}
}
