package delivery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"lycheecrank.example/backend"
	"lycheecrank.example/counter"
	"lycheecrank.example/drain"
	"lycheecrank.example/engine"
	"lycheecrank.example/event"
	"lycheecrank.example/fleet"
	"lycheecrank.example/pipeline"
	"lycheecrank.example/preparation"
	"lycheecrank.example/quarantine"
	"lycheecrank.example/request"
	"lycheecrank.example/route"
)

// testRouter is a router whose servers answer from a script.
type testRouter struct {
	*Router
	// script holds the answers to the sends, in order.
	script []scriptedAnswer
	// mu guards sends: a request may be sent to two servers concurrently.
	mu    sync.Mutex
	sends []string
	tasks []string
	// notifications holds the notifications that the coordinator received, in order.
	notifications  []string
	written        strings.Builder
	headersWritten int
	// confirm drops earlier confirmations of the configuration and confirms it for a time.
	confirm func(at time.Time)
}

// scriptedAnswer is the scripted answer to a send.
type scriptedAnswer struct {
	answer Answer
	body   io.Reader
	err    error
	delay  time.Duration
	// isSilent is set if the server sends nothing after the body and doesn't end the
	// answer.
	isSilent bool
}

func newTestRouter() *testRouter {
	r := &testRouter{}
	routes := route.NewTable()
	kinds := []route.Route{
		{Name: "lookup", Prefix: "/lookup/", Kind: route.Idempotent, MaxServers: 2, Targets: []route.Target{{Pool: "registry"}}, Timeout: 800 * time.Millisecond},
		{Name: "order", Prefix: "/order/", Kind: route.Once, MaxServers: 1, Targets: []route.Target{{Pool: "registry"}}, Timeout: 800 * time.Millisecond},
		{Name: "transfer", Prefix: "/transfer/", Kind: route.Once, MaxServers: 2, Targets: []route.Target{{Pool: "registry"}}, Timeout: 800 * time.Millisecond},
		{Name: "chat", Prefix: "/chat/", Kind: route.Stream, MaxServers: 1, Targets: []route.Target{{Pool: "models"}}, Timeout: 10 * time.Second, Objective: 500 * time.Millisecond},
		{Name: "draft", Prefix: "/draft/", Kind: route.Stream, IsResumable: true, MaxServers: 2, Targets: []route.Target{{Pool: "models"}}, Timeout: 10 * time.Second, Objective: 500 * time.Millisecond, Stages: []route.Stage{{Pool: "encode"}}},
	}
	for i := range kinds {
		kinds[i].Host = "x.example"
	}
	routes.Commands().Apply(route.NewConfiguration(1, route.Limits{}, kinds,
		[]route.Pool{{Name: "registry"}, {Name: "models", Engine: &route.Engine{Slots: 4}}},
		[]route.Workspace{{Name: "parents", Keys: []string{"key"}}}))
	r.confirm = func(at time.Time) {
		routes.Commands().Invalidate()
		routes.Commands().Confirm(at)
	}
	r.confirm(time.Now())
	servers := fleet.NewTable()
	plain := backend.NewTable(event.Discard())
	var specs []backend.Spec
	for _, id := range []string{"s1", "s2", "s3"} {
		servers.Commands().Apply([]fleet.Change{{Server: fleet.Server{ID: id, Pool: "registry", Address: id + ":1"}}})
		specs = append(specs, backend.Spec{Name: id, Pool: "registry", Address: id + ":1", LowestRank: 9, MaxInFlight: 4, ColdInFlight: 4})
	}
	for _, id := range []string{"e1", "e2"} {
		servers.Commands().Apply([]fleet.Change{{Server: fleet.Server{ID: id, Pool: "models", Address: id + ":1"}}})
	}
	plain.Commands().Sync(specs, time.Now())
	r.Router = &Router{
		Routes: routes.Queries(), Fleet: servers.Queries(), PlainServers: plain.Commands(), Budget: pipeline.NewBudget(1, 10),
		Prepare: r.prepare, Retries: &counter.Set{}, Logger: event.Discard(), StopSchedule: func() drain.Schedule { return drain.Schedule{} },
		OnFirstEvent: func(_, server, _ string, _ int, _ time.Duration) {
			r.notifications = append(r.notifications, "first event "+server)
		},
		OnRunEnd: func(_, server, _ string, e preparation.RunStatus) {
			r.notifications = append(r.notifications, fmt.Sprintf("ended %s %s", server, []string{"without fault", "refused", "failed"}[e]))
		},
		Verdict: func(engine.Prompt) (quarantine.Verdict, bool) { return quarantine.Verdict{}, false },
		OnCrash: func(server fleet.Server, _ string, _ engine.Prompt) {
			r.notifications = append(r.notifications, "crashed "+server.ID)
		},
		OnBreak: func(server fleet.Server, _ string, _ engine.Prompt) {
			r.notifications = append(r.notifications, "broke off "+server.ID)
		},
		OnLeaving: func(fleet.Process) {}, OnPause: func(fleet.Process, time.Duration) {},
		OnAdmission: func(Admission) {},
		Abandon:     func(string, int) { r.notifications = append(r.notifications, "abandoned") },
	}
	return r
}

func (r *testRouter) prepare(_ context.Context, task preparation.Task) (preparation.Placement, error) {
	r.tasks = append(r.tasks, fmt.Sprintf("avoid %v rebuilt %v", task.AvoidEngines, task.IsRebuilt))
	server := "e1"
	if len(task.AvoidEngines)%2 == 1 {
		server = "e2"
	}
	return preparation.Placement{Server: server, Address: server + ":1", Inputs: []string{"h"}, ExpectedFirstEvent: 100 * time.Millisecond}, nil
}

func (r *testRouter) send(ctx context.Context, options ForwardOptions) (Answer, error) {
	r.mu.Lock()
	r.sends = append(r.sends, fmt.Sprintf("%s for workspace %s after event %d", options.Server.ID, options.Workspace, options.LastEvent))
	n := len(r.sends)
	r.mu.Unlock()
	if n > len(r.script) {
		return Answer{}, errors.New("more sends than scripted answers")
	}
	s := r.script[n-1]
	timer := time.NewTimer(s.delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return Answer{}, ErrNoValidAnswer
	}
	if s.err != nil {
		return Answer{}, s.err
	}
	a := s.answer
	if s.body == nil {
		s.body = strings.NewReader("")
	}
	if t, ok := s.body.(*tricklingReader); ok {
		t.done = ctx.Done()
	}
	a.Body = io.NopCloser(s.body)
	if body, ok := s.body.(io.ReadCloser); ok {
		a.Body = body
	}
	if s.isSilent {
		a.Body = io.NopCloser(&silentBody{Reader: s.body, ctx: ctx})
	}
	a.WriteHeader = func() error {
		r.headersWritten++
		return nil
	}
	return a, nil
}

// silentBody is a body that blocks after its data until the send is cancelled.
type silentBody struct {
	io.Reader
	ctx context.Context
}

func (s *silentBody) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	<-s.ctx.Done()
	return n, s.ctx.Err()
}

func (r *testRouter) attempt(path string) Attempt {
	return Attempt{
		ID: "a1", Host: "x.example", Path: path, Key: "key", ArrivedAt: time.Now(), Timeout: 2 * time.Second, Pieces: []int{1},
		Send: r.send,
		Write: func(data []byte) error {
			r.written.Write(data)
			return nil
		},
	}
}

func okAnswer(body string) scriptedAnswer {
	return scriptedAnswer{answer: Answer{Status: 200, IsValid: true}, body: strings.NewReader(body)}
}

func statusAnswer(code int) scriptedAnswer {
	return scriptedAnswer{answer: Answer{Status: code, IsValid: true}}
}

func notRunAnswer() scriptedAnswer {
	return scriptedAnswer{answer: Answer{Status: 503, IsNotRun: true, IsValid: true}}
}

func brokenAnswer(body string) scriptedAnswer {
	return scriptedAnswer{answer: Answer{Status: 200, IsValid: true}, body: io.MultiReader(strings.NewReader(body), iotest.ErrReader(errors.New("reset")))}
}

// Guards against a request that runs twice, a refusal with a wrong reason or a wrong
// report of whether the request may have run, a success with an incomplete answer,
// streams that resume at the wrong event, and a coordinator that isn't notified of the
// end of a run.
func TestOutcomes(t *testing.T) {
	otherRequest := scriptedAnswer{answer: Answer{Status: 200}}
	rows := []struct {
		name, path string
		script     []scriptedAnswer
	}{
		{"lookup served", "/lookup/1", []scriptedAnswer{okAnswer("found")}},
		{"lookup, server fails", "/lookup/1", []scriptedAnswer{statusAnswer(500), okAnswer("found")}},
		{"lookup, servers fail", "/lookup/1", []scriptedAnswer{statusAnswer(500), statusAnswer(500), okAnswer("never")}},
		{"lookup, answer cut", "/lookup/1", []scriptedAnswer{brokenAnswer("fou"), okAnswer("found")}},
		{"lookup, answer of another request", "/lookup/1", []scriptedAnswer{otherRequest, okAnswer("found")}},
		{"lookup, servers full", "/lookup/1", []scriptedAnswer{notRunAnswer(), notRunAnswer(), notRunAnswer(), okAnswer("never")}},
		{"lookup, one not reached", "/lookup/1", []scriptedAnswer{{err: ErrNotReached}, okAnswer("found")}},
		{"lookup, no answer in time", "/lookup/1", []scriptedAnswer{{delay: time.Minute}, {delay: time.Minute}}},
		{"lookup, one silent", "/lookup/1", []scriptedAnswer{{delay: time.Minute}, okAnswer("found")}},
		{"lookup, one silent after a part", "/lookup/1", []scriptedAnswer{{answer: Answer{Status: 200, IsValid: true}, body: strings.NewReader("fou"), isSilent: true}, okAnswer("found")}},
		{"order, no answer in time", "/order/1", []scriptedAnswer{{delay: time.Minute}, okAnswer("never")}},
		{"order served", "/order/1", []scriptedAnswer{okAnswer("filed")}},
		{"order, server fails", "/order/1", []scriptedAnswer{statusAnswer(500), okAnswer("never")}},
		{"order, answer lost", "/order/1", []scriptedAnswer{{err: ErrNoValidAnswer}, okAnswer("never")}},
		{"order, answer cut", "/order/1", []scriptedAnswer{brokenAnswer("fil"), okAnswer("never")}},
		{"order, answer of another request", "/order/1", []scriptedAnswer{otherRequest, okAnswer("never")}},
		{"order, one full", "/order/1", []scriptedAnswer{notRunAnswer(), okAnswer("filed")}},
		{"order, none reached", "/order/1", []scriptedAnswer{{err: ErrNotReached}, {err: ErrNotReached}, {err: ErrNotReached}, okAnswer("never")}},
		{"chat served", "/chat/1", []scriptedAnswer{okAnswer(events(1, 3))}},
		{"chat, engine full", "/chat/1", []scriptedAnswer{notRunAnswer(), okAnswer(events(1, 3))}},
		{"chat, cut midway", "/chat/1", []scriptedAnswer{brokenAnswer(events(1, 2)), okAnswer("never")}},
		{"chat, no answer", "/chat/1", []scriptedAnswer{{err: ErrNoValidAnswer}, okAnswer("never")}},
		{"chat, engine fails", "/chat/1", []scriptedAnswer{statusAnswer(500), okAnswer("never")}},
		{"draft, cut midway", "/draft/1", []scriptedAnswer{brokenAnswer(events(1, 2) + "id: 3"), okAnswer(events(3, 4))}},
		{"draft, resumes at the wrong event", "/draft/1", []scriptedAnswer{brokenAnswer(events(1, 2)), okAnswer(events(2, 4))}},
		{"draft, cut twice", "/draft/1", []scriptedAnswer{brokenAnswer(events(1, 2)), brokenAnswer(events(3, 3)), okAnswer("never")}},
		{"draft, result gone", "/draft/1", []scriptedAnswer{{answer: Answer{Status: 409, IsNotRun: true, IsInputGone: true, IsValid: true}}, okAnswer(events(1, 2))}},
		{"unknown route", "/nothing/1", nil},
	}
	var b strings.Builder
	for _, row := range rows {
		synctest.Test(t, func(t *testing.T) {
			r := newTestRouter()
			r.script = row.script
			result := r.Deliver(t.Context(), r.attempt(row.path))
			fmt.Fprintf(&b, "%s\n  ", row.name)
			if result.Failure == nil {
				fmt.Fprint(&b, "answered")
			} else {
				fmt.Fprintf(&b, "%s, may have run %v", result.Failure.Reason, result.Failure.Sent)
			}
			fmt.Fprintf(&b, ", started %v, headers written %d times, body %q after %v\n", result.HasStarted, r.headersWritten, r.written.String(), time.Since(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)))
			for _, s := range r.sends {
				fmt.Fprintf(&b, "  sent to %s\n", s)
			}
			for _, o := range r.tasks {
				fmt.Fprintf(&b, "  prepared: %s\n", o)
			}
			if len(r.notifications) > 0 {
				fmt.Fprintf(&b, "  notified: %s\n", strings.Join(r.notifications, ", "))
			}
		})
	}
	goldie.New(t).Assert(t, "outcomes", []byte(b.String()))
}

// tricklingReader returns one part of a stream at a time, with a pause before each. It
// ends with the context of the send, as the body of an answer does.
type tricklingReader struct {
	parts []string
	pause time.Duration
	done  <-chan struct{}
}

func (r *tricklingReader) Read(data []byte) (int, error) {
	if len(r.parts) == 0 {
		return 0, io.EOF
	}
	timer := time.NewTimer(r.pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.done:
		return 0, errors.New("send cancelled")
	}
	n := copy(data, r.parts[0])
	r.parts = r.parts[1:]
	return n, nil
}

func trickling(pause time.Duration, parts ...string) scriptedAnswer {
	return scriptedAnswer{answer: Answer{Status: 200, IsValid: true}, body: &tricklingReader{parts: parts, pause: pause}}
}

// Guards against a stream that waits for a silent engine until its client disconnects,
// although another engine could run it, against sending a stream again that may run
// only once, against slow streams that are cut, and against stalled ones that never end
// because some bytes arrive now and then.
func TestSilentEngine(t *testing.T) {
	silent := func(first string) scriptedAnswer {
		return scriptedAnswer{answer: Answer{Status: 200, IsValid: true}, body: strings.NewReader(first), isSilent: true}
	}
	rows := []struct {
		name, path string
		script     []scriptedAnswer
	}{
		{"draft, no headers", "/draft/1", []scriptedAnswer{{delay: time.Minute}, okAnswer(events(1, 3))}},
		{"draft, headers only", "/draft/1", []scriptedAnswer{silent(""), okAnswer(events(1, 3))}},
		{"draft, silent midway", "/draft/1", []scriptedAnswer{silent(events(1, 2)), okAnswer(events(3, 3))}},
		{"draft, silent twice", "/draft/1", []scriptedAnswer{{delay: time.Minute}, {delay: time.Minute}, okAnswer("never")}},
		{"draft, slow", "/draft/1", []scriptedAnswer{{answer: Answer{Status: 200, IsValid: true}, body: strings.NewReader(events(1, 3)), delay: 800 * time.Millisecond}}},
		{"chat, no headers", "/chat/1", []scriptedAnswer{{delay: time.Minute}, okAnswer("never")}},
		{"chat, slow but sound", "/chat/1", []scriptedAnswer{trickling(1900*time.Millisecond, events(1, 1), events(2, 2), events(3, 3))}},
		{"chat, stalled inside an event", "/chat/1", []scriptedAnswer{trickling(400*time.Millisecond, events(1, 1), "i", "d", ":", " ", "2", "\n", "d", "a", "t", "a", ":", "x")}},
		{"chat, stalled with comments", "/chat/1", []scriptedAnswer{trickling(400*time.Millisecond, events(1, 1), ":\n\n", ":\n\n", ":\n\n", ":\n\n", ":\n\n", ":\n\n", ":\n\n", ":\n\n", ":\n\n")}},
		{"draft, stalled with comments", "/draft/1", []scriptedAnswer{trickling(400*time.Millisecond, events(1, 1), ":\n\n", ":\n\n", ":\n\n", ":\n\n", ":\n\n", ":\n\n"), okAnswer(events(2, 3))}},
	}
	var b strings.Builder
	for _, row := range rows {
		synctest.Test(t, func(t *testing.T) {
			r := newTestRouter()
			r.script = row.script
			a := r.attempt(row.path)
			a.Timeout = 10 * time.Second
			result := r.Deliver(t.Context(), a)
			fmt.Fprintf(&b, "%s: ", row.name)
			if result.Failure == nil {
				fmt.Fprint(&b, "answered")
			} else {
				fmt.Fprintf(&b, "%s, may have run %v", result.Failure.Reason, result.Failure.Sent)
			}
			fmt.Fprintf(&b, " after %v, %d sends, body %q, retries %v\n", time.Since(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)), len(r.sends), r.written.String(), r.Retries.Values())
		})
	}
	goldie.New(t).Assert(t, "silent", []byte(b.String()))
}

// Guards against computing stages for a client that has disconnected because its idle
// timeout passed, which takes slots from clients that still wait.
func TestIdleTimeout(t *testing.T) {
	const objective, gap = 400 * time.Millisecond, 300 * time.Millisecond
	rows := []struct {
		name    string
		route   route.Route
		timeout time.Duration
		want    time.Duration
	}{
		{"four times the objective", route.Route{Objective: 700 * time.Millisecond, MaxEventGap: gap}, time.Minute, 2800 * time.Millisecond},
		{"eight times the pause", route.Route{Objective: objective, MaxEventGap: gap}, time.Minute, 2400 * time.Millisecond},
		{"at least two seconds", route.Route{Objective: objective}, time.Minute, 2 * time.Second},
		{"timeout of the client", route.Route{Objective: objective, MaxEventGap: gap}, time.Second, time.Second},
		{"no objective", route.Route{MaxEventGap: gap}, 4 * time.Second, 4 * time.Second},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newTestRouter()
				a := r.attempt("/chat/1")
				a.Timeout = row.timeout
				row.route.Kind, row.route.MaxServers = route.Stream, 2
				row.route.IsResumable = true
				v := routedAttempt{attempt: a, route: row.route, pool: route.Pool{Name: "models"}}
				v.deadline, v.objective = deadlines(a, row.route)
				var remaining []time.Duration
				prepare := r.Prepare
				r.Prepare = func(ctx context.Context, task preparation.Task) (preparation.Placement, error) {
					remaining = append(remaining, task.Deadline)
					return prepare(ctx, task)
				}
				// The second preparation follows events, so the client's idle timeout has restarted.
				r.script = []scriptedAnswer{{answer: Answer{Status: 200, IsValid: true}, body: brokenAnswer(events(1, 2)).body, delay: 500 * time.Millisecond}, okAnswer(events(3, 4))}
				r.servePrepared(t.Context(), v)
				is.Equal(remaining[0], row.want)
				is.Equal(remaining[1], min(row.want, row.timeout-500*time.Millisecond))
			})
		})
	}
}

// Guards against 404 and 401 responses for an unknown route or key while the
// configuration may be outdated, and against the admission of requests without a route,
// a valid key or time until their deadline.
func TestAdmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b strings.Builder
		r := newTestRouter()
		show := func(name string, a Attempt) {
			result := r.Deliver(t.Context(), a)
			reason := request.Reason("")
			if result.Failure != nil {
				reason = result.Failure.Reason
			}
			fmt.Fprintf(&b, "%-40s %s\n", name, reason)
		}
		wrongKey := r.attempt("/lookup/1")
		wrongKey.Key = "other"
		late := r.attempt("/lookup/1")
		late.ArrivedAt = time.Now().Add(-3 * time.Second)
		show("no route", r.attempt("/nothing/"))
		show("unknown key", wrongKey)
		show("no time left", late)
		invalidPieces := r.attempt("/draft/1")
		invalidPieces.Pieces = []int{1 << 40}
		show("too many pieces", invalidPieces)
		invalidPieces.Pieces = []int{-1}
		show("a negative number of pieces", invalidPieces)
		r.StopSchedule = func() drain.Schedule { return drain.NewSchedule(time.Now().Add(-drain.BalancerLag), 4*time.Second) }
		show("stream while the instance leaves", r.attempt("/chat/1"))
		r.StopSchedule = func() drain.Schedule { return drain.Schedule{} }
		time.Sleep(time.Minute)
		wrongKey.ArrivedAt = time.Now()
		show("no route, outdated configuration", r.attempt("/nothing/"))
		show("unknown key, outdated configuration", wrongKey)
		r.Routes = route.NewTable().Queries()
		show("no configuration", r.attempt("/lookup/1"))
		goldie.New(t).Assert(t, "admission", []byte(b.String()))
	})
}

// Guards against a request that is sent after the machine was suspended between its
// admission and the send, when its key, server and deadline may have run out, and against
// keys that were withdrawn during the suspension.
func TestBreakBeforeSend(t *testing.T) {
	rows := []struct{ name, path string }{
		{"plain, may be repeated", "/lookup/1"},
		{"plain, at most once", "/order/1"},
		{"stream", "/chat/1"},
		{"stream with stages", "/draft/1"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newTestRouter()
				r.script = []scriptedAnswer{okAnswer(events(1, 3))}
				last := Break{Count: 2, EndedAt: time.Now()}
				r.LastBreak = func() Break { return last }
				// The machine is suspended while the request waits for its admission record.
				r.OnAdmission = func(Admission) { last.Count++ }
				result := r.Deliver(t.Context(), r.attempt(row.path))
				is.True(result.Failure != nil)
				is.True(!result.Failure.Sent)
				is.True(result.Failure.RetryAfter > 0)
				is.Equal(len(r.sends), 0)

				r.OnAdmission = func(Admission) {}
				last.EndedAt = time.Now()
				r.confirm(time.Now().Add(-time.Minute)) // the copy is old
				result = r.Deliver(t.Context(), r.attempt(row.path))
				is.Equal(result.Failure.Reason, request.ReasonNoCatalogue)
				is.Equal(len(r.sends), 0)

				r.confirm(time.Now())
				result = r.Deliver(t.Context(), r.attempt(row.path))
				is.True(result.Failure == nil)
				is.Equal(len(r.sends), 1)
			})
		})
	}
}
