//go:build review2

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	standin "lycheecrank.example/standin/site"
)

const (
	program     = "target/lycheecrank"
	operators   = "keyed.op"
	servers     = "keyed.servers"
	service     = "registry"
	host        = "orders.example"
	apiKey      = "9dnn2ctnfzs989anu6ws"
	readyLimit  = 15 * time.Second
	killTimeout = 2 * time.Second
)

// The bounds of the deployment, those of the sheet of the recall desk.
const (
	stableWindow = 3 * time.Second
	drainTime    = 2 * time.Second
	evacuateTime = 5 * time.Second
	maxStretch   = 5 * time.Second
	beatInterval = 1200 * time.Millisecond
)

// site is a deployment on loopback addresses: the store, workers and instances.
type site struct {
	*record
	folder    string
	store     *standin.Store
	workers   []*worker
	instances []*instance
	version   int
	stopBeats chan struct{}
	beating   sync.WaitGroup
	// running has the goroutines that end with the processes and the workers.
	running sync.WaitGroup

	mu       sync.Mutex
	lastID   int
	requests map[string]*request
}

// instance is a process of the system.
type instance struct {
	name    string
	front   string
	ready   string
	control string
	command *exec.Cmd
	client  *http.Client
	exited  chan struct{}
}

func newSite(r *record) (*site, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("%s is missing: run the build of the deploy file in the repository first", program)
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &site{record: r, folder: folder, store: standin.NewStore(), stopBeats: make(chan struct{}), requests: map[string]*request{}}, nil
}

// close ends all processes and servers of the site.
func (s *site) close() {
	close(s.stopBeats)
	s.beating.Wait()
	s.killInstances()
	for _, w := range s.workers {
		w.stop()
	}
	s.running.Wait()
	s.store.CloseClientConnections()
	s.store.Close()
	_ = os.RemoveAll(s.folder)
}

func (s *site) killInstances() {
	for _, n := range s.instances {
		if n.command == nil || n.command.Process == nil {
			continue
		}
		_ = n.command.Process.Signal(syscall.SIGCONT)
		_ = n.command.Process.Kill()
		select {
		case <-n.exited:
		case <-time.After(killTimeout):
		}
	}
}

// freeAddress returns a loopback address with a free port below the range from which the
// system takes the ports of outgoing connections.
func freeAddress() (string, error) {
	const first, count, tries = 20000, 12000, 100
	var err error
	for range tries {
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+rand.IntN(count))); err == nil {
			return l.Addr().String(), l.Close()
		}
	}
	return "", err
}

// configure writes the next version of the configuration.
func (s *site) configure() {
	s.version++
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "service": service, "maxAttempts": 2,
			"timeoutMs": 8000, "targetLatencyMs": 2000, "priority": 1, "anonymous": false,
		}
	}
	s.store.PutJSON(operators, "config", map[string]any{
		"version": s.version,
		"routes":  []any{route("r-order", "/order/", "unsafe"), route("r-lookup", "/lookup/", "safe")},
		"services": []any{map[string]any{
			"name": service, "healthPath": "/healthz", "maxConnections": 96, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0,
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "bozi300", "apiKeys": []string{apiKey}, "priority": 1}},
	})
}

// start starts instances, one after the other, and waits until all are ready.
func (s *site) start(names ...string) error {
	for _, name := range names {
		n := &instance{name: name, exited: make(chan struct{})}
		for _, address := range []*string{&n.front, &n.ready, &n.control} {
			var err error
			if *address, err = freeAddress(); err != nil {
				return err
			}
		}
		n.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
		s.instances = append(s.instances, n)
	}
	for _, n := range s.instances {
		if err := s.startInstance(n); err != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond) // all machines start within 0.3 s of each other
	}
	for _, n := range s.instances {
		if err := s.awaitReady(n); err != nil {
			return err
		}
	}
	s.write("all instances are ready")
	return nil
}

func (s *site) startInstance(n *instance) error {
	seeds := ""
	for k, other := range s.instances {
		if k < 3 {
			seeds += fmt.Sprintf("%q,", other.control)
		}
	}
	settings := fmt.Sprintf(`nodeName = %q
role = "entry"
machineClass = "edge"
serves = ["edge","control_plane"]
ip = "127.0.0.1"
zone = "helsinki-a"
region = "fi-south"
seeds = [%s]
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[zones]
helsinki-a = "fi-south"
espoo = "fi-south"
[listen]
front = %q
readiness = %q
control = %q
[limits]
cpuShare = 0.4
cpuCores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
stableWindowMs = 3000
drainMs = 2000
graceS = 8
configApplyMs = 2000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 52
coldOvershoot = 1.5
coldSlack = 5
evacuateMs = 5000
recoveryS = 12
[platform]
address = %q
form = "log"
writesPerS = 400
readsPerS = 2000
`, n.name, seeds, n.front, n.ready, n.control, s.store.Address())
	file := filepath.Join(s.folder, n.name+".toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(s.folder, n.name+".log"))
	if err != nil {
		return err
	}
	n.command = exec.Command(program, "entry")
	n.command.Env = []string{"LYCHEECRANK_SETTINGS=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	n.command.Stdout, n.command.Stderr = log, log
	if err := n.command.Start(); err != nil {
		return err
	}
	s.write("started %s, process %d, front %s", n.name, n.command.Process.Pid, n.front)
	s.running.Go(func() {
		_ = n.command.Wait()
		_ = log.Close()
		close(n.exited)
	})
	return nil
}

func (s *site) awaitReady(n *instance) error {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(readyLimit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		res, err := client.Get("http://" + n.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(n.name + " didn't become ready")
}

// signal sends a signal to the process of an instance.
func (s *site) signal(n *instance, signal syscall.Signal) {
	s.write("%s gets signal %v", n.name, signal)
	_ = n.command.Process.Signal(signal)
}
