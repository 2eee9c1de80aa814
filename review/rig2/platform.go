//go:build review2

package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the daemon as the build command of the deploy file leaves it.
const program = "target/lycheecrank"

// restartDelay is the delay after which the platform starts a process again that has ended.
const restartDelay = 500 * time.Millisecond

// machine plays the platform for one process of the system: it writes the settings, starts
// the process, starts it again when it ends, and kills it when it exceeds its memory.
type machine struct {
	name     string
	front    string
	ready    string
	control  string
	settings string
	memoryMb int64
	log      string

	mu      sync.Mutex
	command *exec.Cmd
	stopped bool
	ends    []string
	peakKb  int64
	done    chan struct{}
}

// settings describes a machine of a small deployment.
type deployment struct {
	folder   string
	store    string
	memoryMb int64
	graceS   float64
	machines []*machine
}

// freeAddress returns a loopback address that is free.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("no free port: %v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

func newDeployment(folder, store string, count int, memoryMb int64) *deployment {
	d := &deployment{folder: folder, store: store, memoryMb: memoryMb, graceS: 8}
	for n := range count {
		d.machines = append(d.machines, &machine{
			name: fmt.Sprintf("edge-a-%d", n+1), front: freeAddress(), ready: freeAddress(), control: freeAddress(),
			settings: filepath.Join(folder, fmt.Sprintf("node-%d.toml", n+1)), memoryMb: memoryMb,
			log: filepath.Join(folder, fmt.Sprintf("node-%d.log", n+1)), done: make(chan struct{}),
		})
	}
	var seeds []string
	for _, m := range d.machines[:min(3, count)] {
		seeds = append(seeds, strconv.Quote(m.control))
	}
	for _, m := range d.machines {
		text := fmt.Sprintf(`nodeName = %q
role = "entry"
machineClass = "edge"
serves = ["edge","control_plane"]
ip = "127.0.0.1"
zone = "a"
region = "r"
seeds = [%s]
bootstrap = true
heartbeatMs = 1200
[zones]
a = "r"
[listen]
front = %q
readiness = %q
control = %q
[limits]
cpuShare = 0.4
cpuCores = 1
memoryMb = %d
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
drainMs = 2000
graceS = %g
configApplyMs = 2000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 52
[platform]
address = %q
form = "log"
`, m.name, strings.Join(seeds, ","), m.front, m.ready, m.control, memoryMb, d.graceS, store)
		if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
			fail("settings: %v", err)
		}
	}
	return d
}

func (d *deployment) start() {
	for _, m := range d.machines {
		go m.run()
	}
	for _, m := range d.machines {
		m.awaitReady(10 * time.Second)
	}
}

func (d *deployment) stop() {
	for _, m := range d.machines {
		m.mu.Lock()
		m.stopped = true
		if m.command != nil && m.command.Process != nil {
			_ = m.command.Process.Kill()
		}
		m.mu.Unlock()
	}
	for _, m := range d.machines {
		<-m.done
	}
}

func (m *machine) run() {
	defer close(m.done)
	for {
		out, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			fail("log: %v", err)
		}
		m.mu.Lock()
		if m.stopped {
			m.mu.Unlock()
			out.Close()
			return
		}
		command := exec.Command(program, "entry")
		command.Env = []string{"LYCHEECRANK_SETTINGS=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
		command.Stdout, command.Stderr = out, out
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := command.Start(); err != nil {
			fail("start %s: %v", program, err)
		}
		m.command = command
		m.mu.Unlock()
		ended := make(chan error, 1)
		go func() { ended <- command.Wait() }()
		cause := ""
		ticker := time.NewTicker(50 * time.Millisecond)
	watch:
		for {
			select {
			case err := <-ended:
				if cause == "" {
					cause = fmt.Sprintf("ended by itself: %v", err)
				}
				break watch
			case <-ticker.C:
				kb := residentKb(command.Process.Pid)
				m.mu.Lock()
				m.peakKb = max(m.peakKb, kb)
				m.mu.Unlock()
				if m.memoryMb > 0 && kb > m.memoryMb*1024 && cause == "" {
					cause = fmt.Sprintf("memory over the limit: %d MB resident of %d MB", kb/1024, m.memoryMb)
					_ = command.Process.Kill()
				}
			}
		}
		ticker.Stop()
		out.Close()
		m.mu.Lock()
		stopped := m.stopped
		if !stopped {
			m.ends = append(m.ends, cause)
			record("%s: process %s", m.name, cause)
		}
		m.mu.Unlock()
		if stopped {
			return
		}
		time.Sleep(restartDelay)
	}
}

func (m *machine) endCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.ends)
}

func (m *machine) peakMb() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peakKb / 1024
}

// signal sends a signal to the current process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil {
		_ = m.command.Process.Signal(s)
	}
}

// awaitReady waits until the readiness address answers 200.
func (m *machine) awaitReady(limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if status := getStatus("http://" + m.ready + "/readyz"); status == 200 {
			return true
		}
	}
	return false
}

// residentKb returns the resident memory of a process.
func residentKb(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			n, _ := strconv.ParseInt(fields[1], 10, 64)
			return n
		}
	}
	return 0
}
