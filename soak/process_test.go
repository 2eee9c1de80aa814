package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheecrank.example/standin/link"
)

// grace is the time from SIGTERM to SIGKILL that the settings name.
const grace = 8 * time.Second

// instance is an instance of the system, of which one process at a time runs.
type instance struct {
	name, front, ready, peers, settings, log string
	// clients and store are the links that clients reach it by and by which it
	// reaches the store.
	clients, store *link.Link
	process        *process
	// isReady is what the balancer believes.
	isReady atomic.Bool
	// mu is held by a fault of the process.
	mu sync.Mutex
}

// process is a process that the soak has started.
type process struct {
	command *exec.Cmd
	// exited is closed once it has ended.
	exited chan struct{}
	// isExpected tells that the soak ends it.
	isExpected atomic.Bool
	// logStart is the size of the instance's log when the process was started.
	logStart int
}

// newInstance returns an instance that keeps its settings and its log in a folder.
func newInstance(folder, name string) *instance {
	return &instance{
		name: name, front: link.NewAddress(), ready: link.NewAddress(), peers: link.NewAddress(),
		settings: filepath.Join(folder, name+".toml"), log: filepath.Join(folder, name+".log"),
	}
}

func (i *instance) writeSettings(seeds []string) error {
	text := fmt.Sprintf("nodeName = %q\nzone = \"a\"\nseeds = %q\n[listen]\nfront = %q\nreadiness = %q\ncontrol = %q\n"+
		"[bounds]\ngraceS = %v\nretryBudgetRatio = 0.5\nretryBudgetSlack = 50.0\n[platform]\naddress = %q\n",
		i.name, seeds, i.front, i.ready, i.peers, grace.Seconds(), i.store.Address())
	// Lists of TOML have commas.
	text = string(bytes.ReplaceAll([]byte(text), []byte(`" "`), []byte(`", "`)))
	return os.WriteFile(i.settings, []byte(text), 0o600)
}

// start starts a process of the instance.
func (i *instance) start(group *errgroup.Group) error {
	out, err := os.OpenFile(i.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p := &process{command: exec.Command(program, "entry", "--metrics", ""), exited: make(chan struct{}), logStart: len(i.readLog())}
	p.command.Env = append(os.Environ(), "LYCHEECRANK_SETTINGS="+i.settings)
	p.command.Stdout, p.command.Stderr = out, out
	// The processes end with the test process even if that is killed.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	group.Go(func() error {
		defer close(p.exited)
		_ = p.command.Wait()
		return out.Close()
	})
	i.process = p
	return nil
}

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// logTailSize is how much of the log of an instance that ended by itself is reported.
const logTailSize = 1500

// readLog returns the log of the instance, which is empty before its first start.
func (i *instance) readLog() []byte {
	data, _ := os.ReadFile(i.log)
	return data
}

// logTail returns the end of the log of the instance.
func (i *instance) logTail() []byte {
	data := i.readLog()
	return data[max(0, len(data)-logTailSize):]
}

// signal sends a signal to the process by its ID.
func (p *process) signal(s syscall.Signal) {
	if !p.hasExited() {
		_ = p.command.Process.Signal(s)
	}
}

// kill ends the process, also a stopped one.
func (p *process) kill() {
	p.isExpected.Store(true)
	if !p.hasExited() {
		_ = p.command.Process.Kill()
	}
	<-p.exited
}

// answersReady asks the instance whether it takes clients.
func (i *instance) answersReady(client *http.Client) bool {
	res, err := client.Get("http://" + i.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}
