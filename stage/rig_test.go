package stage_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"lycheecrank.example/backend"
	"lycheecrank.example/request"
	"lycheecrank.example/stage"
	"lycheecrank.example/standin"
	"lycheecrank.example/standin/fault"
	"lycheecrank.example/standin/work"
)

// testTimeout is only reached if the tested code hangs.
const testTimeout = 30 * time.Second

// rig is a client and a stand-in behind an HTTP server on loopback.
type rig struct {
	t       *testing.T
	kind    request.Kind
	standin *standin.Standin
	server  *httptest.Server
	client  *stage.Client
	// arrivals receives the path of each call to the stand-in.
	arrivals chan string
	// bytesWritten counts the bytes written to connections to the server.
	bytesWritten atomic.Int64
	// breakAfter holds, for each of the next calls, the number of messages after
	// which its connection breaks. onBreak is called when it breaks.
	breakAfter chan int
	onBreak    func(r *rig)

	mu      sync.Mutex
	dropped []string
}

func newRig(t *testing.T, kind request.Kind, limits work.Limits) *rig {
	t.Helper()
	r := &rig{t: t, kind: kind, standin: newStandin(t, kind, limits), arrivals: make(chan string, 64), breakAfter: make(chan int, 8)}
	r.server = httptest.NewServer(http.HandlerFunc(r.serve))
	dialer := &net.Dialer{}
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{c, &r.bytesWritten}, nil
	}}
	r.setHTTPClient(&http.Client{Transport: transport})
	t.Cleanup(func() {
		r.standin.SetFault(fault.Fault{})
		r.standin.Stop()
		transport.CloseIdleConnections()
		r.server.Close()
	})
	return r
}

func newStandin(t *testing.T, kind request.Kind, limits work.Limits) *standin.Standin {
	t.Helper()
	o := standin.BackendOptions{Name: "b-" + t.Name(), Pool: "p", Limits: limits}
	switch kind {
	case request.Generate:
		return standin.NewEngine(standin.EngineOptions{BackendOptions: o})
	case request.Call:
		return standin.NewService(o)
	}
	s, err := standin.NewPool(kind, o)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// setHTTPClient replaces the client of the rig by one that uses an HTTP client.
func (r *rig) setHTTPClient(client *http.Client) {
	r.client = stage.NewClient(client)
	r.client.OnDropped = func(_ request.Step, reason string) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.dropped = append(r.dropped, reason)
	}
}

func (r *rig) serve(w http.ResponseWriter, req *http.Request) {
	r.arrivals <- req.URL.Path
	select {
	case n := <-r.breakAfter:
		r.current().Handler.ServeHTTP(&breakingWriter{ResponseWriter: w, rig: r, remaining: n}, req)
	default:
		r.current().Handler.ServeHTTP(w, req)
	}
}

// current returns the stand-in. It locks, because Cancel calls may be served at the
// same time.
func (r *rig) current() *standin.Standin {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.standin
}

// replace sets another stand-in.
func (r *rig) replace(s *standin.Standin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.standin = s
}

// countingConn counts the bytes written to a connection.
type countingConn struct {
	net.Conn
	bytesWritten *atomic.Int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.bytesWritten.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// breakingWriter breaks the connection at the first flush after the remaining
// messages.
type breakingWriter struct {
	http.ResponseWriter
	rig       *rig
	remaining int
}

func (w *breakingWriter) Flush() {
	if w.remaining == 0 {
		if w.rig.onBreak != nil {
			w.rig.onBreak(w.rig)
		}
		panic(http.ErrAbortHandler)
	}
	w.remaining--
	if f, ok := w.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}

// callResult is the observed result of a call.
type callResult struct {
	execution     stage.Execution
	pieces        []request.Piece
	bytesWereSent bool
	dropped       []string
}

func (r *rig) step() request.Step {
	s := request.Step{
		RequestID: "request-1", Stage: "stage", Attempt: 2, Kind: r.kind, Pool: "p",
		Deadline: time.Now().Add(testTimeout), Input: []byte("which cycle helmet strap fails the shock test"),
	}
	if r.kind == request.Call {
		s.Key, s.Operation, s.Input = "key-1", "registerTally", []byte("museu 12")
	}
	return s
}

// call executes the step of the rig. onArrival is called once the call has arrived
// at the server and may cancel its context.
func (r *rig) call(onArrival func(cancel context.CancelFunc), sink request.Sink) callResult {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var watch sync.WaitGroup
	if onArrival != nil {
		watch.Go(func() {
			select {
			case <-r.arrivals:
				onArrival(cancel)
			case <-ctx.Done():
			}
		})
	}
	before := r.bytesWritten.Load()
	var s callResult
	record := func(p request.Piece) error {
		s.pieces = append(s.pieces, p)
		if sink != nil {
			return sink(p)
		}
		return nil
	}
	s.execution = r.client.Execute(ctx, r.step(), backend.Server{Spec: backend.Spec{Name: "b", Address: r.server.Listener.Addr().String()}}, record)
	cancel()
	watch.Wait()
	s.bytesWereSent = r.bytesWritten.Load() > before
	r.mu.Lock()
	defer r.mu.Unlock()
	s.dropped, r.dropped = r.dropped, nil
	return s
}

// String returns the outcome without the values that differ between runs.
func (s callResult) String() string {
	var out strings.Builder
	if f := s.execution.Failure; f != nil {
		fmt.Fprintf(&out, "%s, sent %t", f.Reason, f.Sent)
	} else {
		out.WriteString("ran")
	}
	if len(s.pieces) > 0 {
		fmt.Fprintf(&out, ", %d pieces", len(s.pieces))
	}
	if len(s.dropped) > 0 {
		fmt.Fprintf(&out, ", dropped %s", strings.Join(s.dropped, " "))
	}
	return out.String()
}

// violation returns the first rule that the result breaks, or "". want is the
// output of the same step without faults.
func (s callResult) violation(step request.Step, want []byte, foreign bool) string {
	e := s.execution
	var joined []byte
	for i, p := range s.pieces {
		if p.Number != uint32(i) || p.Attempt != step.Attempt {
			return fmt.Sprintf("piece %d of attempt %d at position %d", p.Number, p.Attempt, i)
		}
		joined = append(joined, p.Data...)
	}
	switch {
	case !bytes.HasPrefix(want, joined):
		return fmt.Sprintf("unexpected pieces: %q", joined)
	case e.Failure != nil && s.bytesWereSent != e.Failure.Sent:
		return fmt.Sprintf("Sent is %t, bytes written: %t", e.Failure.Sent, s.bytesWereSent)
	case e.Failure == nil && foreign:
		return "result of another request"
	case e.Failure == nil && (e.Result.Identity != step.Identity() || !bytes.Equal(e.Result.Output, want)):
		return fmt.Sprintf("wrong result: %q", e.Result.Output)
	case e.Failure == nil && step.Kind == request.Generate && !bytes.Equal(joined, want):
		return "result with missing pieces"
	}
	return ""
}

func assertGolden(t *testing.T, name, text string) {
	t.Helper()
	goldie.New(t, goldie.WithFixtureDir("testdata"), goldie.WithNameSuffix(".golden")).Assert(t, name, []byte(text))
}
