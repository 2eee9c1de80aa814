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

// generous is a limit that only a broken test reaches.
const generous = 30 * time.Second

// rig is a client and a stand-in behind a real server on loopback.
type rig struct {
	t       *testing.T
	kind    request.Kind
	standin *standin.Standin
	server  *httptest.Server
	client  *stage.Client
	// arrived gets the path of each call of the stand-in.
	arrived chan string
	// wrote counts the bytes that left for the server.
	wrote atomic.Int64
	// breakAfter holds after how many messages the next calls break; onBreak is
	// called then.
	breakAfter chan int
	onBreak    func(r *rig)

	mu      sync.Mutex
	dropped []string
}

func newRig(t *testing.T, kind request.Kind, limits work.Limits) *rig {
	t.Helper()
	r := &rig{t: t, kind: kind, standin: newStandin(t, kind, limits), arrived: make(chan string, 64), breakAfter: make(chan int, 8)}
	r.server = httptest.NewServer(http.HandlerFunc(r.serve))
	dialer := &net.Dialer{}
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{c, &r.wrote}, nil
	}}
	r.use(&http.Client{Transport: transport})
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

// use makes the rig call over an HTTP client.
func (r *rig) use(client *http.Client) {
	r.client = stage.NewClient(client)
	r.client.Dropped = func(_ request.Step, reason string) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.dropped = append(r.dropped, reason)
	}
}

func (r *rig) serve(w http.ResponseWriter, req *http.Request) {
	r.arrived <- req.URL.Path
	select {
	case n := <-r.breakAfter:
		r.current().Handler.ServeHTTP(&breakingWriter{ResponseWriter: w, rig: r, left: n}, req)
	default:
		r.current().Handler.ServeHTTP(w, req)
	}
}

// current returns the stand-in, replace puts another one in its place. Calls that
// cancel others may be served meanwhile.
func (r *rig) current() *standin.Standin {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.standin
}

func (r *rig) replace(s *standin.Standin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.standin = s
}

// countingConn counts the bytes that are written.
type countingConn struct {
	net.Conn
	wrote *atomic.Int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.wrote.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// breakingWriter breaks the connection when a message too many is flushed.
type breakingWriter struct {
	http.ResponseWriter
	rig  *rig
	left int
}

func (w *breakingWriter) Flush() {
	if w.left == 0 {
		if w.rig.onBreak != nil {
			w.rig.onBreak(w.rig)
		}
		panic(http.ErrAbortHandler)
	}
	w.left--
	if f, ok := w.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}

// seen is what a call came to.
type seen struct {
	execution stage.Execution
	pieces    []request.Piece
	wrote     bool
	dropped   []string
}

func (r *rig) step() request.Step {
	s := request.Step{
		RequestID: "request-1", Stage: "stage", Attempt: 2, Kind: r.kind, Pool: "p",
		Deadline: time.Now().Add(generous), Input: []byte("which cycle helmet strap fails the shock test"),
	}
	if r.kind == request.Call {
		s.Key, s.Operation, s.Input = "key-1", "registerTally", []byte("museu 12")
	}
	return s
}

// call runs the step of the rig. The context may be ended by the function that
// is called once the call has arrived at the server.
func (r *rig) call(onArrival func(cancel context.CancelFunc), sink request.Sink) seen {
	ctx, cancel := context.WithTimeout(context.Background(), generous)
	defer cancel()
	var watch sync.WaitGroup
	if onArrival != nil {
		watch.Go(func() {
			select {
			case <-r.arrived:
				onArrival(cancel)
			case <-ctx.Done():
			}
		})
	}
	before := r.wrote.Load()
	var s seen
	take := func(p request.Piece) error {
		s.pieces = append(s.pieces, p)
		if sink != nil {
			return sink(p)
		}
		return nil
	}
	s.execution = r.client.Execute(ctx, r.step(), backend.Server{Spec: backend.Spec{Name: "b", Address: r.server.Listener.Addr().String()}}, take)
	cancel()
	watch.Wait()
	s.wrote = r.wrote.Load() > before
	r.mu.Lock()
	defer r.mu.Unlock()
	s.dropped, r.dropped = r.dropped, nil
	return s
}

// String returns the outcome without what differs from run to run.
func (s seen) String() string {
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

// fault returns what breaks the contract, or "". The whole output is that of the
// same step without faults.
func (s seen) fault(step request.Step, whole []byte, foreign bool) string {
	e := s.execution
	var joined []byte
	for i, p := range s.pieces {
		if p.Number != uint32(i) || p.Attempt != step.Attempt {
			return fmt.Sprintf("piece %d of attempt %d at place %d", p.Number, p.Attempt, i)
		}
		joined = append(joined, p.Data...)
	}
	switch {
	case !bytes.HasPrefix(whole, joined):
		return fmt.Sprintf("pieces of another text: %q", joined)
	case e.Failure != nil && s.wrote != e.Failure.Sent:
		return fmt.Sprintf("sent %t, but bytes left: %t", e.Failure.Sent, s.wrote)
	case e.Failure == nil && foreign:
		return "a foreign result"
	case e.Failure == nil && (e.Result.Identity != step.Identity() || !bytes.Equal(e.Result.Output, whole)):
		return fmt.Sprintf("a wrong result: %q", e.Result.Output)
	case e.Failure == nil && step.Kind == request.Generate && !bytes.Equal(joined, whole):
		return "a result without all of its pieces"
	}
	return ""
}

func assertGolden(t *testing.T, name, text string) {
	t.Helper()
	goldie.New(t, goldie.WithFixtureDir("testdata"), goldie.WithNameSuffix(".golden")).Assert(t, name, []byte(text))
}
