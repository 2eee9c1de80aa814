//go:build review3

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// instance is one machine of the system with its process.
type instance struct {
	name, zone, front, ready, control string
	folder                            string
	command                           *exec.Cmd
}

// freeAddress returns a loopback address that is free now.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("no free port: %v", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func newInstances(folder string, zones ...string) []*instance {
	var all []*instance
	for n, zone := range zones {
		all = append(all, &instance{
			name: fmt.Sprintf("edge-%s-%d", zone, n+1), zone: zone, folder: folder,
			front: freeAddress(), ready: freeAddress(), control: freeAddress(),
		})
	}
	return all
}

// memoryMb is the memory of a machine; the sheet of the small deployment has 284.
const memoryMb = 284

// settings returns the settings of the sheet of the small deployment.
func (i *instance) settings(s *store, all []*instance) string {
	var seeds, zones []string
	seen := map[string]bool{}
	for _, o := range all {
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", o.control))
		}
		if !seen[o.zone] {
			seen[o.zone] = true
			zones = append(zones, o.zone+` = "fi-south"`)
		}
	}
	return fmt.Sprintf(`nodeName = %q
role = "entry"
machineClass = "edge"
serves = ["edge","control_plane"]
ip = "127.0.0.1"
zone = %q
region = "fi-south"
seeds = [%s]
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","stages"]
[zones]
%s
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
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
strictRevoke = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 52
coldOvershoot = 1.5
coldSlack = 5
evacuateMs = 5000
recoveryS = 12
passMs = 120
reuseWindowS = 8.7
[platform]
address = %q
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 12
appendMs = 2.0
partMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
ttlMinMs = 1000
`, i.name, i.zone, strings.Join(seeds, ","), strings.Join(zones, "\n"), i.front, i.ready, i.control, memoryMb, s.address())
}

// startInstances starts the processes with the command of the deploy file, without the
// counters, whose port is the same for all machines.
func startInstances(s *store, all []*instance) {
	for _, i := range all {
		if err := os.WriteFile(i.settingsPath(), []byte(i.settings(s, all)), 0o600); err != nil {
			cannotRun("settings: %v", err)
		}
		i.start()
	}
}

func (i *instance) settingsPath() string { return filepath.Join(i.folder, i.name+".toml") }

// start starts a process of the instance.
func (i *instance) start() {
	out, err := os.OpenFile(filepath.Join(i.folder, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("log: %v", err)
	}
	i.command = exec.Command("target/lycheecrank", "entry", "--metrics", "")
	i.command.Env = append(os.Environ(), "LYCHEECRANK_SETTINGS="+i.settingsPath())
	i.command.Stdout, i.command.Stderr = out, out
	// The processes end with the rig, even if that is killed.
	i.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.command.Start(); err != nil {
		cannotRun("start: %v", err)
	}
	runningMu.Lock()
	running = append(running, i.command)
	runningMu.Unlock()
}

// hasExited reports whether the process has ended.
func (i *instance) hasExited() bool {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", i.command.Process.Pid))
	return err != nil || strings.Contains(string(data), ") Z ")
}

var (
	runningMu sync.Mutex
	// running are the processes that were started.
	running []*exec.Cmd
)

func endProcesses() {
	runningMu.Lock()
	defer runningMu.Unlock()
	for _, c := range running {
		_ = c.Process.Kill()
		_ = c.Wait()
	}
	running = nil
}

// awaitReady waits until all instances answer the readiness check with 200.
func awaitReady(all []*instance, limit time.Duration) {
	until := time.Now().Add(limit)
	for _, i := range all {
		for {
			res, err := http.Get("http://" + i.ready + "/readyz")
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				cannotRun("instance %s isn't ready", i.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
