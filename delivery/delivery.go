// Package delivery serves one attempt of a client: it finds the route and the
// workspace, has the request prepared, sends it to a backend server, and passes
// the answer on. It decides what may be sent again, and says truthfully what has
// run.
package delivery

import (
	"context"
	"errors"
	"io"
	"time"

	"lycheecrank.example/engine"
	"lycheecrank.example/fleet"
	"lycheecrank.example/request"
)

// Sentinel errors of sends.
var (
	// ErrUnreached: no byte of the request reached a server.
	ErrUnreached = errors.New("backend server not reached")
	// ErrBroken: the request was sent, wholly or in part, and no proper answer
	// came. It may have run.
	ErrBroken = errors.New("no answer from the backend server")
)

// Attempt is one attempt of a client. Its functions translate to and from the
// protocol of the client and of the servers.
type Attempt struct {
	ID   string
	Host string
	Path string
	// Key is the key that the client showed, empty if it showed none.
	Key       string
	ArrivedAt time.Time
	// Limit is the time that the client will wait from ArrivedAt, 0 if it doesn't
	// say.
	Limit time.Duration
	// Pieces is the number of pieces of each stage, PieceKey what they are made
	// from.
	Pieces   []int
	PieceKey string
	Prompt   engine.Prompt
	// LastEvent is the number of the last event that the client has, 0 for none.
	LastEvent int64
	// Send sends the request to a server. Its error is ErrUnreached or ErrBroken.
	Send func(ctx context.Context, i Instruction) (Answer, error)
	// Write passes bytes of the answer on to the client at once.
	Write func(data []byte) error
}

// Instruction says how a request is sent.
type Instruction struct {
	Server    fleet.Server
	Workspace string
	// Deadline is when the work of the server must end.
	Deadline time.Time
	// Inputs are the handles of results that the server fetches; IsPrepared tells
	// that the route has stages.
	Inputs     []string
	IsPrepared bool
	// Source is the address of an engine that has more of the prompt, empty for
	// none.
	Source string
	// Rank is the class for servers that honour one.
	Rank int
	// LastEvent is the event after which a stream goes on, 0 for the beginning.
	LastEvent int64
	// IsRepeatable tells that the request may run more than once.
	IsRepeatable bool
	// IsModel tells that a model engine gets the request.
	IsModel bool
}

// Answer is the answer of a server.
type Answer struct {
	Status int
	// IsNotRun tells that the server promises not to have run the request.
	IsNotRun bool
	// IsMisdirected tells that another server answered, so that the request has not
	// reached the one that it was sent to.
	IsMisdirected bool
	// IsInputGone tells that a result that the request needs is gone.
	IsInputGone bool
	// IsProper tells that the answer belongs to the request and, if it is a
	// success, is signed by the server.
	IsProper bool
	Body     io.ReadCloser
	// Begin passes the status and headers on to the client.
	Begin func() error
}

// isSuccess reports whether the server has answered the request.
func (a Answer) isSuccess() bool { return a.Status >= 200 && a.Status < 300 }

// Admission is the decision to serve an attempt.
type Admission struct {
	Request   string
	Workspace string
	Route     string
	Pool      string
	// Rank is the class; 0 is served first.
	Rank      int
	ArrivedAt time.Time
	Deadline  time.Time
	// Version is that of the configuration.
	Version int64
}

// Verdict says how an attempt ended.
type Verdict struct {
	// Failure is why the client gets no answer of a server; nil if it got one.
	Failure *request.Failure
	// IsBegun tells that a part of an answer was passed on: after a failure the
	// client must see that it is not whole.
	IsBegun bool
	// Server is the backend server that answered, if any.
	Server string
	// Route and Pool name what served the attempt, if known.
	Route string
	Pool  string
	// Tries is the number of sends.
	Tries int
	// FirstEvent is the time from the arrival of a stream's request to its first
	// event, 0 if there was none.
	FirstEvent time.Duration
}

func (v Verdict) withFailure(f request.Failure) Verdict {
	v.Failure = &f
	return v
}
