//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lycheecrank.example/platform"
	"lycheecrank.example/standin/link"
	standin "lycheecrank.example/standin/site"
)

const (
	// program and role start an instance, as in the deploy file.
	program = "target/lycheecrank"
	role    = "entry"
	// instances is the number of instances.
	instances = 6
	// startInterval is the time between the starts of two instances: all of them start
	// within 0.3 s.
	startInterval = 50 * time.Millisecond
	// startLimit bounds the wait for the instances to be ready.
	startLimit = 20 * time.Second
	// settleTime is the time from the moment at which all instances are ready to the
	// first disruption.
	settleTime = 5 * time.Second
	// The balancer asks each instance at checkInterval whether it is ready. After
	// maxMisses misses in a row, an instance gets no new connections.
	checkInterval = time.Second
	checkLimit    = 500 * time.Millisecond
	maxMisses     = 2
)

// zones are the zones of the deployment, over which instances and workers are spread.
var zones = []string{"helsinki-a", "helsinki-b", "espoo", "vantaa"}

// site is a deployment: the platform's store, workers and instances.
type site struct {
	record    *record
	store     *standin.Store
	folder    string
	instances []*instance
	// group holds the waits for processes, the servers of the workers and their heartbeats.
	group sync.WaitGroup

	mu      sync.Mutex
	workers []*worker
	version int
}

// instance is a process of the system.
type instance struct {
	name, front, ready, control string
	command                     *exec.Cmd
	exited                      chan struct{}
	// isReady is set while the balancer sends clients to the instance.
	isReady atomic.Bool
}

func newSite(r *record) (*site, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &site{record: r, store: standin.NewStore(), folder: folder}, nil
}

// close ends all processes and stand-ins of the site.
func (s *site) close() {
	for _, i := range s.instances {
		_ = i.command.Process.Kill()
		<-i.exited
	}
	s.mu.Lock()
	workers := s.workers
	s.mu.Unlock()
	for _, w := range workers {
		w.close()
	}
	s.group.Wait()
	s.store.CloseClientConnections()
	s.store.Close()
	_ = os.RemoveAll(s.folder)
}

// configure writes a new version of the configuration.
func (s *site) configure(routes, services []map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.store.PutJSON(platform.OperatorStream, platform.ConfigurationKey, map[string]any{
		"version": s.version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "inspectors", "apiKeys": []string{key}, "priority": 1}},
	})
}

// key is the API key of the clients.
const key = "9dnn2ctnfzs989anu6ws"

// start starts instances and waits until all are ready.
func (s *site) start(ctx context.Context, count int) error {
	var seeds []string
	for n := range count {
		i := &instance{
			name: fmt.Sprintf("edge-%s-%d", zones[n%len(zones)], n/len(zones)+1), front: link.NewAddress(), ready: link.NewAddress(), control: link.NewAddress(),
			exited: make(chan struct{}),
		}
		s.instances = append(s.instances, i)
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", i.control))
		}
	}
	for n, i := range s.instances {
		if err := s.startInstance(i, zones[n%len(zones)], seeds); err != nil {
			s.instances = s.instances[:n]
			return err
		}
		pause(ctx, startInterval)
	}
	for began := time.Now(); !s.areReady(); pause(ctx, 20*time.Millisecond) {
		if time.Since(began) > startLimit || ctx.Err() != nil {
			return errors.New("the instances are not ready in time")
		}
	}
	s.record.write("%d instances are ready", count)
	return nil
}

func (s *site) startInstance(i *instance, zone string, seeds []string) error {
	settings := filepath.Join(s.folder, i.name+".toml")
	if err := os.WriteFile(settings, []byte(settingsOf(i, zone, seeds, s.store.Address())), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(s.folder, i.name+".log"))
	if err != nil {
		return err
	}
	i.command = exec.Command(program, role)
	i.command.Env = append(os.Environ(), platform.SettingsVariable+"="+settings)
	i.command.Stdout, i.command.Stderr = log, log
	// The process ends with this one, also if this one is killed.
	i.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.command.Start(); err != nil {
		return err
	}
	s.group.Go(func() {
		_ = i.command.Wait()
		_ = log.Close()
		close(i.exited)
	})
	s.record.write("%s starts at %s", i.name, i.front)
	return nil
}

// settingsOf returns the settings file of an instance, with the values of the agency.
func settingsOf(i *instance, zone string, seeds []string, store string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "nodeName = %q\nrole = %q\nmachineClass = \"edge\"\nserves = [\"edge\", \"control_plane\"]\nip = \"127.0.0.1\"\n", i.name, role)
	fmt.Fprintf(&b, "zone = %q\nregion = \"fi-south\"\nseeds = [%s]\nbootstrap = true\nheartbeatMs = 1200\n", zone, strings.Join(seeds, ", "))
	fmt.Fprintf(&b, "[listen]\nfront = %q\nreadiness = %q\ncontrol = %q\n", i.front, i.ready, i.control)
	b.WriteString("[limits]\ncpuShare = 0.4\ncpuCores = 1\nmemoryMb = 284\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n")
	b.WriteString("[bounds]\nstableWindowMs = 3000\ndrainMs = 2000\ngraceS = 8\nconfigApplyMs = 2000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nretryBudgetSlack = 52\n")
	fmt.Fprintf(&b, "[platform]\naddress = %q\nform = \"log\"\n", store)
	return b.String()
}

// areReady reports whether all instances say that they are ready, and puts these into
// rotation.
func (s *site) areReady() bool {
	ready := 0
	for _, i := range s.instances {
		i.isReady.Store(i.answersReady())
		if i.isReady.Load() {
			ready++
		}
	}
	return ready == len(s.instances)
}

var readinessClient = &http.Client{Timeout: checkLimit, Transport: &http.Transport{DisableKeepAlives: true}}

func (i *instance) answersReady() bool {
	res, err := readinessClient.Get("http://" + i.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// balance asks the instances whether they are ready, as the platform's balancer does.
func (s *site) balance(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for _, i := range s.instances {
		group.Go(func() {
			misses := 0
			for ctx.Err() == nil {
				if i.answersReady() {
					misses = 0
				} else {
					misses++
				}
				i.isReady.Store(misses < maxMisses)
				pause(ctx, checkInterval)
			}
		})
	}
}

// rotation returns the instances that get new connections.
func (s *site) rotation() []*instance {
	var in []*instance
	for _, i := range s.instances {
		if i.isReady.Load() {
			in = append(in, i)
		}
	}
	return in
}

// signal sends a signal to the process of an instance.
func (i *instance) signal(sig syscall.Signal) { _ = i.command.Process.Signal(sig) }
