package soak

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheecrank.example/standin/link"
	"lycheecrank.example/standin/site"
)

var (
	freshSeeds = flag.Int("soak.seeds", 0, "number of fresh seeds to play besides the kept ones")
	oneSeed    = flag.Uint64("soak.seed", 0, "a seed to play alone")
	length     = flag.Duration("soak.length", 6*time.Second, "time of faults in a run")
	instances  = flag.Int("soak.instances", 4, "number of instances")
	clients    = flag.Int("soak.clients", 8, "number of clients")
)

// program is the built daemon.
var program string

func TestMain(m *testing.M) {
	flag.Parse()
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

func buildAndRun(m *testing.M) (int, error) {
	folder, err := os.MkdirTemp("", "lycheecrank-soak")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	program = filepath.Join(folder, "lycheecrank")
	if out, err := exec.Command("go", "build", "-o", program, "lycheecrank.example/cmd/lycheecrank").CombinedOutput(); err != nil {
		return 0, errors.Join(err, errors.New(string(out)))
	}
	return m.Run(), nil
}

// fixedSeed is played in each run of the tests.
const fixedSeed = 1

// Guards against promises that break when faults overlap: requests that run twice or
// are refused though they ran, streams that are joined wrongly, answers of other
// requests, refusals of routes and keys that are there, instances that end by
// themselves, hang on SIGTERM, or don't serve again after the last fault.
func TestSoak(t *testing.T) {
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soakOnce(t, seed) })
	}
}

// seeds returns the seeds to play.
func seeds(t *testing.T) []uint64 {
	if *oneSeed != 0 {
		return []uint64{*oneSeed}
	}
	list := []uint64{fixedSeed}
	data, err := os.ReadFile("testdata/seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		word, _, _ := strings.Cut(line, " ")
		if seed, err := strconv.ParseUint(strings.TrimSpace(word), 10, 64); err == nil {
			list = append(list, seed)
		}
	}
	for range *freshSeeds {
		list = append(list, rand.Uint64N(1<<40))
	}
	return list
}

// lightLoad is a load under which requests needn't wait.
var lightLoad = load{slots: 8, workerPause: 10 * time.Millisecond, deadline: 4 * time.Second}

func soakOnce(t *testing.T, seed uint64) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	r, l := rand.New(rand.NewPCG(seed, 0)), lightLoad
	l.clients = *clients
	// In some runs there is only planned work, and clients ask more than the workers bear,
	// so that many requests wait in a stop.
	isPlanned := seed%4 == 0
	if isPlanned {
		pauseMs, slowness := 100+r.IntN(200), time.Duration(1+r.IntN(2))
		l = load{clients: 3 * *clients, slots: 2, workerPause: slowness * time.Duration(pauseMs) * time.Millisecond, deadline: slowness * slowness * 4 * time.Second}
	}
	s := newSoakSite(ctx, t, *instances, l)
	var group errgroup.Group
	for _, i := range s.instances {
		group.Go(func() error { return s.balance(ctx, i) })
	}
	defer func() { _ = group.Wait() }()
	defer stop()
	s.awaitService(ctx, "at the start")

	sending, end := context.WithCancel(ctx)
	seen := make([][]outcome, l.clients)
	var senders errgroup.Group
	for n := range seen {
		senders.Go(func() error {
			seen[n] = s.runClient(sending, n, seed)
			return nil
		})
	}
	// The returns of the store have a source of their own, so that the kept seeds play the
	// faults that failed.
	s.play(ctx, r, rand.New(rand.NewPCG(seed, math.MaxUint64)), *length, isPlanned)
	s.heal()
	if isPlanned {
		end()
		_ = senders.Wait()
	}
	s.awaitService(ctx, "after the last fault")
	end()
	_ = senders.Wait()
	// What clients have left behind ends at the workers.
	pause(ctx, 300*time.Millisecond)
	s.check(seen)
	if t.Failed() {
		s.keep(seed)
	}
}

// heal ends all faults.
func (s *soakSite) heal() {
	for _, l := range s.links {
		l.Set(link.State{})
	}
	for _, w := range s.workers {
		w.SetFault(site.Fault{})
	}
	s.store.SetDown(false)
	for _, i := range s.instances {
		i.store.Set(link.State{})
		i.clients.Set(link.State{})
		if i.process.hasExited() && !i.process.isExpected.Load() {
			s.t.Errorf("%s ended by itself: %s; its log ends with:\n%s", i.name, i.process.command.ProcessState, i.logTail())
			s.start(i)
		}
	}
}

// recoveryLimit is within what the platform's pages allow (recoveryS).
const recoveryLimit = 15 * time.Second

// awaitService waits until each instance serves each kind of request with the newest
// key and refuses what doesn't exist.
func (s *soakSite) awaitService(ctx context.Context, when string) {
	limit := time.Now().Add(recoveryLimit)
	var group errgroup.Group
	for _, i := range s.instances {
		group.Go(func() error { return s.awaitInstance(ctx, i, when, limit) })
	}
	if err := group.Wait(); err != nil {
		s.t.Error(err)
	}
}

func (s *soakSite) awaitInstance(ctx context.Context, i *instance, when string, limit time.Time) error {
	client := &http.Client{Timeout: s.load.deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	number := 0
	for _, want := range []struct {
		route, key string
		status     int
	}{{"order", s.key, 200}, {"lookup", "key-1", 200}, {"draft", s.key, 200}, {"nothing", "key-1", 404}, {"order", "key-old", 401}} {
		for {
			number++
			o := s.ask(client, i, want.route, want.key, fmt.Sprintf("await-%s-%s-%d", strings.Fields(when)[0], i.name, number))
			if time.Now().After(limit) {
				return fmt.Errorf("%s answers %s with %d, %v %s", i.name, want.route, o.status, recoveryLimit, when)
			}
			if o.status == want.status && o.isWhole {
				break
			}
			pause(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

// keep reports the faults and where the logs of the instances are.
func (s *soakSite) keep(seed uint64) {
	folder, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		s.t.Error(err)
		return
	}
	for _, i := range s.instances {
		if err := os.WriteFile(filepath.Join(folder, i.name+".log"), i.readLog(), 0o600); err != nil {
			s.t.Error(err)
		}
	}
	s.t.Logf("seed %d failed, logs in %s, faults:\n%s", seed, folder, strings.Join(s.faults, "\n"))
}
