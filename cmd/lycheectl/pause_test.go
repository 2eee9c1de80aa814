package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"lycheecrank.example/console"
	"lycheecrank.example/standin/store"
)

// pausedCommand is the environment variable with the command that the child process of
// TestPauseIsNotSilence runs.
const pausedCommand = "LYCHEECTL_TEST_COMMAND"

// pauser stops a process while the answer to one of its calls is sent.
type pauser struct {
	call    string
	pause   time.Duration
	process chan *os.Process
}

func (p pauser) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, p.call) {
			process := <-p.process
			_ = process.Signal(unix.SIGSTOP)
			// A process that the signal hasn't reached yet would still read the answer.
			_ = unix.Waitid(unix.P_PID, process.Pid, nil, unix.WSTOPPED, nil)
			time.AfterFunc(p.pause, func() {
				p.process <- process
				_ = process.Signal(unix.SIGCONT)
			})
		}
		h.ServeHTTP(w, r)
	})
}

// Guards against a command that was paused for longer than its timeout and reports the
// platform or an instance as silent, although the answer is unread in its socket.
func TestPauseIsNotSilence(t *testing.T) {
	if command := os.Getenv(pausedCommand); command != "" {
		var out bytes.Buffer
		if code := run(t.Context(), strings.Fields(command), &out, &out); code != console.Done {
			t.Fatalf("exit code %d: %s", code, &out)
		}
		return
	}
	for _, x := range []struct{ call, command string }{
		{"/Read", "catalogue get"},
		{"/Read", "precedence verify"},
		{"/Append", "datacentre take-out espoo"},
		{"/List", "datacentre release espoo"},
		{"/HoldDataCentre", "datacentre release espoo"},
		{"/counters", "rollouts --metrics COUNTERS/counters"},
		{"/counters", "quarantine --metrics COUNTERS/counters"},
	} {
		t.Run(x.command+x.call, func(t *testing.T) {
			t.Parallel()
			runPaused(t, x.call, x.command)
		})
	}
}

// runPaused runs a command in a process that is paused at one of its calls.
func runPaused(t *testing.T, call, command string) {
	const timeout, pause = 2 * time.Second, 2500 * time.Millisecond
	is := is.New(t)
	w := newWorld(t, store.Options{})
	w.run(console.Done, "catalogue", "apply", w.file("base.yaml", base))
	p := pauser{call: call, pause: pause, process: make(chan *os.Process, 1)}
	platform := w.serve("PLATFORM", p.wrap(w.platform.Handler))
	h := w.follower("espoo-1", "espoo")
	h.Hold = func(context.Context, string, string, time.Duration) (time.Time, error) { return time.Time{}, nil }
	mux := http.NewServeMux()
	for path, handler := range h.Routes() {
		mux.Handle(path, p.wrap(handler))
	}
	w.announce("espoo-1", "espoo", strings.TrimPrefix(w.serve("INSTANCE", mux), "http://"))
	counters := w.serve("COUNTERS", p.wrap(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "{}")
	})))

	child := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestPauseIsNotSilence$")
	global := []string{"lycheectl", "--author", "aino", "--timeout", timeout.String(), "--platform", platform}
	command = strings.Join(global, " ") + " " + strings.Replace(command, "COUNTERS", counters, 1)
	// On one processor the timers that have passed run before the sockets are read.
	child.Env = append(os.Environ(), "GOMAXPROCS=1", pausedCommand+"="+command)
	var output bytes.Buffer
	child.Stdout, child.Stderr = &output, &output
	start := time.Now()
	is.NoErr(child.Start())
	p.process <- child.Process
	if err := child.Wait(); err != nil {
		t.Errorf("%v: %s", err, &output)
	}
	is.True(time.Since(start) >= pause) // the call was made
}
