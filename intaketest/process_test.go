package intaketest

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheecrank.example/platform"
	"lycheecrank.example/standin/link"
	"lycheecrank.example/standin/site"
)

const (
	// memoryMb is the memory of the smallest machine, in megabytes.
	memoryMb = 144
	// maxDescriptors bounds the open descriptors of a process: one for each client, one for
	// the request that it may cause at a backend server, and those of the process itself.
	maxDescriptors = 2*maxClients + 100
	// startLimit ends a test whose process doesn't start.
	startLimit = 15 * time.Second
)

// program is the built daemon.
var program string

func TestMain(m *testing.M) {
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

func buildAndRun(m *testing.M) (int, error) {
	folder, err := os.MkdirTemp("", "lycheecrank-intake")
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

// daemon is a process under test.
type daemon struct {
	t       *testing.T
	command *exec.Cmd
	exited  chan struct{}
	log     string
	// address is where clients connect, path what the crowd sends to, and peers where other
	// instances connect.
	address string
	path    string
	peers   string
	header  map[string]string
	// ask sends an ordinary request and returns the status, 0 if there was no answer.
	ask func() int
}

// startEntry starts an instance for the users' platform, with one plain server and one
// engine.
func startEntry(t *testing.T) *daemon {
	store := site.NewStore()
	mux := http.NewServeMux()
	mux.HandleFunc("/", serveLong)
	mux.HandleFunc("/endless/", serveEndless)
	mux.HandleFunc("/report", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{}") })
	server, engine := httptest.NewServer(mux), httptest.NewServer(mux)
	t.Cleanup(func() {
		for _, s := range []*httptest.Server{server, engine} {
			s.CloseClientConnections()
			s.Close()
		}
		store.CloseClientConnections()
		store.Close()
	})
	store.PutJSON(platform.ServerStream, "registry-1", map[string]any{
		"service": "registry", "address": server.Listener.Addr().String(), "zone": "a", "slots": 4 * maxClients, "version": "v1", "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1,
	})
	store.PutJSON(platform.ServerStream, "models-1", map[string]any{
		"service": "models", "address": engine.Listener.Addr().String(), "zone": "a", "slots": 4 * maxClients, "version": "v1", "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1,
	})
	store.PutJSON(platform.OperatorStream, platform.ConfigurationKey, map[string]any{
		"version": 1,
		"routes": []map[string]any{
			{"name": "lookup", "host": "shop.example", "pathPrefix": "/", "kind": "safe", "service": "registry", "maxAttempts": 2, "timeoutMs": 20000},
			{"name": "order", "host": "shop.example", "pathPrefix": "/endless/order/", "kind": "unsafe", "service": "registry", "maxAttempts": 1, "timeoutMs": 20000},
			{"name": "chat", "host": "shop.example", "pathPrefix": "/endless/chat/", "kind": "streaming", "service": "models", "maxAttempts": 1, "timeoutMs": 20000, "targetLatencyMs": 5000},
		},
		"tenants": []map[string]any{{"name": "parents", "apiKeys": []string{"key-1"}}},
		"services": []map[string]any{
			{"name": "registry"},
			{"name": "models", "engine": map[string]any{"slots": 4 * maxClients, "kvCapacity": 1 << 30, "kvTokenBytes": 100}},
		},
	})
	front, ready, peers := link.NewAddress(), link.NewAddress(), link.NewAddress()
	file := filepath.Join(t.TempDir(), "settings.toml")
	text := fmt.Sprintf("nodeName = \"n1\"\nzone = \"a\"\nseeds = []\n[listen]\nfront = %q\nreadiness = %q\ncontrol = %q\n"+
		"[limits]\nmemoryMb = %d\n[bounds]\ngraceS = 2\n[platform]\naddress = %q\n", front, ready, peers, memoryMb, store.Address())
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	d := &daemon{
		t: t, address: front, path: "/registry", peers: peers,
		header: map[string]string{"Host": "shop.example", "Attempt-Id": "a-1", "Authorization": "Token key-1"},
	}
	d.ask = func() int { return d.post("/registry", strings.NewReader("helmet")) }
	d.start([]string{"LYCHEECRANK_SETTINGS=" + file}, "entry", "--metrics", "")
	d.awaitAnswer()
	return d
}

// startServe starts an instance for the project's own interface. Its platform is away, so
// that it answers without executing anything.
func startServe(t *testing.T) *daemon {
	callers, peers := link.NewAddress(), link.NewAddress()
	file := filepath.Join(t.TempDir(), "settings.yaml")
	text := fmt.Sprintf("instance: {name: n1, dataCentre: a}\nlisten: {callers: %q, peers: %q}\nplatform: {log: \"http://%[3]s\", instances: \"http://%[3]s\"}\n",
		callers, peers, link.NewAddress())
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	const service = "/lycheecrank.caller.v1.PipelineService/"
	d := &daemon{t: t, address: callers, peers: peers, path: service + "Run", header: map[string]string{"Host": callers, "Content-Type": "application/proto"}}
	d.ask = func() int {
		d.header["Content-Type"] = "application/json"
		return d.post(service+"Cancel", strings.NewReader(`{"workspace":"parents","requestId":"r-1"}`))
	}
	d.start([]string{fmt.Sprintf("GOMEMLIMIT=%d", int64(memoryMb*1e6))}, "serve", "--config", file)
	d.awaitAnswer()
	return d
}

func (d *daemon) start(environment []string, arguments ...string) {
	d.log = filepath.Join(d.t.TempDir(), "log")
	out, err := os.Create(d.log)
	if err != nil {
		d.t.Fatal(err)
	}
	d.command, d.exited = exec.Command(program, arguments...), make(chan struct{})
	d.command.Env = append(os.Environ(), environment...)
	d.command.Stdout, d.command.Stderr = out, out
	// The process ends with the test process even if that is killed.
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.command.Start(); err != nil {
		d.t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		defer close(d.exited)
		_ = d.command.Wait()
		return out.Close()
	})
	d.t.Cleanup(func() {
		_ = d.command.Process.Kill()
		<-d.exited
	})
}

// post sends a request on a connection of its own and returns the status, 0 for none.
func (d *daemon) post(path string, body *strings.Reader) int {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, "http://"+d.address+path, body)
	if err != nil {
		d.t.Fatal(err)
	}
	for name, value := range d.header {
		req.Header.Set(name, value)
	}
	req.Host = d.header["Host"]
	res, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// awaitAnswer waits until an ordinary request is answered.
func (d *daemon) awaitAnswer() {
	d.t.Helper()
	limit := time.Now().Add(startLimit)
	status := 0
	for time.Now().Before(limit) && !d.hasExited() {
		if status = d.ask(); status == http.StatusOK {
			return
		}
		pause(100 * time.Millisecond)
	}
	d.t.Fatalf("an ordinary request got status %d within %s; the log ends with\n%s", status, startLimit, d.logTail())
}

func (d *daemon) hasExited() bool {
	select {
	case <-d.exited:
		return true
	default:
		return false
	}
}

func (d *daemon) logTail() []byte {
	data, err := os.ReadFile(d.log)
	if err != nil {
		return []byte(err.Error())
	}
	return data[max(0, len(data)-1500):]
}

// check reports a process that has ended or has exceeded a bound, and one that doesn't
// answer an ordinary request while the crowd is connected.
func (d *daemon) check() {
	d.t.Helper()
	if d.hasExited() {
		d.t.Fatalf("the process has ended: %s; its log ends with\n%s", d.command.ProcessState, d.logTail())
	}
	d.awaitAnswer()
	peak, descriptors := d.peakMemory(), d.descriptors()
	d.t.Logf("peak resident memory %.1f MB of %d MB, %d descriptors", float64(peak)/1e6, memoryMb, descriptors)
	if peak > memoryMb*1e6 {
		d.t.Errorf("peak resident memory is %.1f MB, the machine has %d MB", float64(peak)/1e6, memoryMb)
	}
	if descriptors > maxDescriptors {
		d.t.Errorf("%d open descriptors, at most %d are expected", descriptors, maxDescriptors)
	}
}

// peakMemory returns the peak resident memory of the process in bytes.
func (d *daemon) peakMemory() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.command.Process.Pid))
	if err != nil {
		d.t.Fatal(err)
	}
	for line := range bytes.Lines(data) {
		if fields := strings.Fields(string(line)); len(fields) == 3 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
			if err != nil {
				d.t.Fatal(err)
			}
			return kilobytes << 10
		}
	}
	d.t.Fatal("no peak memory in the status of the process")
	return 0
}

func (d *daemon) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.command.Process.Pid))
	if err != nil {
		d.t.Fatal(err)
	}
	return len(entries)
}

func pause(d time.Duration) { <-time.After(d) }
