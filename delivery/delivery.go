// Package delivery serves one attempt of a client: it looks up the route and the
// workspace, has the request prepared, sends it to a backend server and forwards
// the answer. It decides which requests may be sent again, and reports a request
// as not run only if no server can have run it.
package delivery

import (
	"context"
	"errors"
	"io"
	"time"

	"lycheecrank.example/engine"
	"lycheecrank.example/fleet"
	"lycheecrank.example/request"
	"lycheecrank.example/speed"
)

// Sentinel errors of sends.
var (
	// ErrNotReached means that no byte of the request reached a server.
	ErrNotReached = errors.New("backend server not reached")
	// ErrNoValidAnswer means that the request was sent, completely or in part, but no
	// complete and valid answer was received. The request may have run.
	ErrNoValidAnswer = errors.New("no valid answer from the backend server")
	// errUnprovenRefusal means that the server answered with the status of a refusal, but
	// did not guarantee that it has not run the request.
	errUnprovenRefusal = errors.New("backend server refused the request without the guarantee that it has not run")
	// ErrBufferFull is returned once by the body of an answer of a plain server if memory is
	// short: what was read is forwarded before more is read. The body can be read on.
	ErrBufferFull = errors.New("no memory to buffer more of the answer")
)

// Attempt is one attempt of a client. Its functions convert between this package's
// types and the protocols of the client and the servers.
type Attempt struct {
	// ID identifies the attempt in all instances (see request.IDSource). The preparation
	// uses it as the ID of the request.
	ID   string
	Host string
	Path string
	// Key is the client's API key, empty if it sent none.
	Key       string
	ArrivedAt time.Time
	// Timeout is the client's timeout, counted from ArrivedAt; 0 if it sent none.
	Timeout time.Duration
	// Pieces is the number of pieces of each stage. PieceKey identifies the input
	// that they are computed from.
	Pieces   []int
	PieceKey string
	Prompt   engine.Prompt
	// LastEvent is the number of the last event that the client received, 0 for none.
	LastEvent int64
	// Send sends the request to a server. Its error is ErrNotReached or ErrNoValidAnswer.
	Send func(ctx context.Context, options ForwardOptions) (Answer, error)
	// Write forwards bytes of the answer to the client immediately.
	Write func(data []byte) error
}

// ForwardOptions describes how a request is forwarded to a server.
type ForwardOptions struct {
	Server    fleet.Server
	Workspace string
	// Deadline is when the server must have finished.
	Deadline time.Time
	// Inputs are the handles of the stage results that the server fetches.
	// IsPrepared is set if the route has stages.
	Inputs     []string
	IsPrepared bool
	// Source is the address of an engine from which the server fetches the cached state
	// (KV cache) of the beginning of the prompt, empty for none.
	Source string
	// Rank is the priority class, for servers that support one.
	Rank int
	// LastEvent is the number of the event after which the stream resumes, 0 for
	// the beginning.
	LastEvent int64
	// IsRepeatable is set if the request may run more than once.
	IsRepeatable bool
	// IsResend is set if a server at this address has received the attempt before. It is
	// sent on a connection of its own then (see markResends).
	IsResend bool
	// IsModel is set if the request goes to a model engine.
	IsModel bool
}

// Answer is the answer of a server.
type Answer struct {
	Status int
	// IsNotRun is set if the server guarantees that it has not run the request.
	IsNotRun bool
	// IsRefusalStatus is set if the status guarantees to a client that its request has not
	// run. Only with IsNotRun does the server guarantee it too.
	IsRefusalStatus bool
	// IsMisdirected is set if another server answered: the request has not reached
	// the server that it was sent to.
	IsMisdirected bool
	// IsInputGone is set if a stage result that the request needs no longer exists.
	IsInputGone bool
	// IsLeaving is set if the server says that it is leaving.
	IsLeaving bool
	// PauseFor is how long the server wants no requests of this instance, 0 if it has not
	// said so.
	PauseFor time.Duration
	// Load is the load that the server reports, the zero value if it reports none.
	Load speed.Report
	// EndsWithConnection is set if the body has neither a length nor chunks, so that its
	// end can't be told from a connection that the server closed early.
	EndsWithConnection bool
	// IsValid is set if the answer belongs to the request and, if it is a success,
	// is signed by the server.
	IsValid bool
	// Problem says why the answer isn't valid, empty if it is.
	Problem string
	Body    io.ReadCloser
	// WriteHeader forwards the status and headers to the client.
	WriteHeader func() error
	// hasRest is set if the body has bytes after those that were buffered.
	hasRest bool
}

// isSuccess reports whether the server answered with a 2xx status.
func (a Answer) isSuccess() bool { return a.Status >= 200 && a.Status < 300 }

// Admission is the decision to serve an attempt.
type Admission struct {
	RequestID string
	Workspace string
	Route     string
	Pool      string
	// Rank is the priority class; 0 is served first.
	Rank      int
	ArrivedAt time.Time
	Deadline  time.Time
	// ConfigurationVersion is the version of the configuration in force.
	ConfigurationVersion int64
}

// Result is the result of an attempt.
type Result struct {
	// Failure is the reason why the client gets no answer from a server; nil if it
	// got one.
	Failure *request.Failure
	// HasStarted is set if a part of an answer was forwarded. If the attempt failed
	// afterwards, the client must be able to detect that the answer is incomplete.
	HasStarted bool
	// Server is the last backend server that was selected, if any.
	Server string
	// Route and Pool are the names of those that served the attempt, if known.
	Route string
	Pool  string
	// Tries is the number of sends, including those that reached no server.
	Tries int
	// TimeToFirstEvent is the time from the arrival of a stream's request to its first
	// event, 0 if the stream had none.
	TimeToFirstEvent time.Duration
}

func (r Result) withFailure(failure request.Failure) Result {
	r.Failure = &failure
	return r
}
