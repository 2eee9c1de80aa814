package caller_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	callerv1 "lycheecrank.example/api/caller/v1"
	"lycheecrank.example/api/caller/v1/callerv1connect"
	"lycheecrank.example/caller"
	"lycheecrank.example/counter"
	"lycheecrank.example/request"
)

// answers are what the runner behind the handler does, by target.
var answers = map[string]func(r request.Request, sink request.Sink) request.Answer{
	"whole": func(r request.Request, _ request.Sink) request.Answer {
		return request.Answer{Request: r.WithClass("advice", 2, 1), Outcome: request.Ran, Output: append([]byte("answer to "), r.Input...)}
	},
	"pieces": func(r request.Request, sink request.Sink) request.Answer {
		return streamed(r, sink, request.Piece{Attempt: 1, Data: []byte("one ")}, request.Piece{Attempt: 1, Number: 1, Data: []byte("two")})
	},
	"restart": func(r request.Request, sink request.Sink) request.Answer {
		return streamed(r, sink, request.Piece{Attempt: 1, Data: []byte("lost")}, request.Piece{Attempt: 2, Data: []byte("kept")})
	},
	"refused": func(r request.Request, _ request.Sink) request.Answer {
		f := request.Refuse(request.ReasonQueueFull, "too many steps wait")
		return request.Answer{Request: r, Outcome: f.Outcome(), Failure: f}
	},
	"unknown": func(r request.Request, _ request.Sink) request.Answer {
		f := request.Refuse(request.ReasonServerFailed, "connection lost").WithSent(true)
		return request.Answer{Request: r, Outcome: f.Outcome(), Failure: f}
	},
	"not kept": func(r request.Request, _ request.Sink) request.Answer {
		return request.Answer{Request: r, Outcome: request.Ran, Failure: request.Refuse(request.ReasonOutputNotKept, "")}
	},
}

func streamed(r request.Request, sink request.Sink, pieces ...request.Piece) request.Answer {
	for _, p := range pieces {
		if err := sink(p); err != nil {
			return request.Answer{Request: r, Outcome: request.MayHaveRun, Failure: request.AsFailure(err)}
		}
	}
	return request.Answer{Request: r, Outcome: request.Ran, Output: []byte("not sent again")}
}

// serve starts a handler with the answers above.
func serve(t *testing.T, refusals *counter.Set) *httptest.Server {
	h := &caller.Handler{
		Run: func(_ context.Context, r request.Request, sink request.Sink) request.Answer {
			return answers[r.Target](r, sink)
		},
		Cancel: func(_ context.Context, workspace, id string) bool { return workspace == "parents" && id == "r-1" },
		KeyStatus: func(_ context.Context, _, key string) caller.KeyStatus {
			return caller.KeyStatus{Outcome: request.MayHaveRun, Running: key == "running"}
		},
		MaxMessageBytes: 4096,
		Refusals:        refusals,
	}
	mux := http.NewServeMux()
	mux.Handle(h.Routes())
	s := httptest.NewUnstartedServer(mux)
	s.Config.Protocols = new(http.Protocols)
	s.Config.Protocols.SetHTTP1(true)
	s.Config.Protocols.SetUnencryptedHTTP2(true)
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// h2c is a client for HTTP/2 without TLS, which gRPC needs.
func h2c() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{Protocols: protocols}}
}

// Guards against an answer, refusal or stream mark that gets lost between the
// runner and a caller, in each protocol that callers may use.
func TestAnswersInEachProtocol(t *testing.T) {
	s := serve(t, &counter.Set{})
	clients := map[string]callerv1connect.PipelineServiceClient{
		"connect": callerv1connect.NewPipelineServiceClient(http.DefaultClient, s.URL),
		"json":    callerv1connect.NewPipelineServiceClient(http.DefaultClient, s.URL, connect.WithProtoJSON()),
		"grpc":    callerv1connect.NewPipelineServiceClient(h2c(), s.URL, connect.WithGRPC()),
	}
	for name, c := range clients {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			for _, target := range []string{"whole", "refused", "unknown", "not kept"} {
				fmt.Fprintf(&out, "run %s: %s\n", target, run(t, c, target))
			}
			for _, target := range []string{"whole", "pieces", "restart", "refused"} {
				fmt.Fprintf(&out, "stream %s: %s\n", target, stream(t, c, target))
			}
			// All protocols share one golden file.
			goldie.New(t).Assert(t, "answers", []byte(out.String()))
		})
	}
}

func run(t *testing.T, c callerv1connect.PipelineServiceClient, target string) string {
	res, err := c.Run(t.Context(), connect.NewRequest(&callerv1.RunRequest{Target: target, Input: []byte("a question"), RequestId: "r-1", TimeoutMs: 1000}))
	if err != nil {
		return err.Error()
	}
	return describe(res.Msg) + fmt.Sprintf(", output %q", res.Msg.GetOutput())
}

func describe(m *callerv1.RunResponse) string {
	text := fmt.Sprintf("%s %s, class %q", m.GetRequestId(), m.GetOutcome(), m.GetClass())
	if r := m.GetRefusal(); r != nil {
		text += fmt.Sprintf(", refusal %s %q, repeatable %t", r.GetCode(), r.GetMessage(), r.GetRepeatable())
	}
	return text
}

func stream(t *testing.T, c callerv1connect.PipelineServiceClient, target string) string {
	events, err := c.RunStream(t.Context(), connect.NewRequest(&callerv1.RunRequest{Target: target, Input: []byte("a question"), RequestId: "r-1", TimeoutMs: 1000}))
	if err != nil {
		return err.Error()
	}
	var parts []string
	for events.Receive() {
		switch e := events.Msg().GetEvent().(type) {
		case *callerv1.RunEvent_Piece:
			parts = append(parts, fmt.Sprintf("piece %d %q", e.Piece.GetNumber(), e.Piece.GetData()))
		case *callerv1.RunEvent_Restart:
			parts = append(parts, fmt.Sprintf("restart for attempt %d", e.Restart.GetAttempt()))
		case *callerv1.RunEvent_End:
			parts = append(parts, fmt.Sprintf("end: %d pieces, %d bytes, sha256 %x, %s", e.End.GetPieces(), e.End.GetLengthBytes(), e.End.GetSha256()[:4], describe(e.End.GetResponse())))
		}
	}
	if err := events.Err(); err != nil {
		parts = append(parts, err.Error())
	}
	return strings.Join(parts, "; ")
}

// Guards against a message that can't be read and gets no reason code, or is not
// counted.
func TestUnreadableMessages(t *testing.T) {
	is := is.New(t)
	refusals := &counter.Set{}
	s := serve(t, refusals)
	for _, c := range []struct {
		body   string
		reason request.Reason
	}{
		{"{", request.ReasonMalformed},
		{`{"colour":"red"}`, ""},
		{`{"input":"` + strings.Repeat("A", 8192) + `"}`, request.ReasonInputTooLarge},
	} {
		res, err := http.Post(s.URL+callerv1connect.PipelineServiceCancelProcedure, "application/json", bytes.NewBufferString(c.body))
		is.NoErr(err)
		is.NoErr(res.Body.Close())
		is.Equal(res.Header.Get(caller.ReasonHeader), string(c.reason)) // the reason of a message that can't be read
	}
	is.Equal(refusals.Values(), map[string]int64{"malformed": 1, "inputTooLarge": 1})
}

// Guards against a cancel or a question for a key that answers for another
// request.
func TestCancelAndOutcome(t *testing.T) {
	is := is.New(t)
	c := callerv1connect.NewPipelineServiceClient(http.DefaultClient, serve(t, &counter.Set{}).URL)
	for _, workspace := range []string{"parents", "inspectors"} {
		res, err := c.Cancel(t.Context(), connect.NewRequest(&callerv1.CancelRequest{Workspace: workspace, RequestId: "r-1"}))
		is.NoErr(err)
		is.Equal(res.Msg.GetFound(), workspace == "parents")
	}
	res, err := c.GetOutcome(t.Context(), connect.NewRequest(&callerv1.GetOutcomeRequest{Workspace: "parents", Key: "running"}))
	is.NoErr(err)
	is.Equal(res.Msg.GetOutcome(), callerv1.Outcome_OUTCOME_MAY_HAVE_RUN)
	is.True(res.Msg.GetRunning())
}

// Guards against a caller that has gone and whose stream goes on for ever.
func TestStreamEndsWithItsCaller(t *testing.T) {
	is := is.New(t)
	s := serve(t, &counter.Set{})
	c := callerv1connect.NewPipelineServiceClient(http.DefaultClient, s.URL)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := c.RunStream(ctx, connect.NewRequest(&callerv1.RunRequest{Target: "pieces"}))
	is.True(errors.Is(err, context.Canceled))
}
