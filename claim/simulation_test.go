package claim_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"lycheecrank.example/claim"
	"lycheecrank.example/request"
)

// schedule is the input of a simulation. Nodes 0 and 1 are in one data centre,
// nodes 2 and 3 in another.
type schedule struct {
	Name               string
	Retention, Timeout time.Duration
	Calls              []call
	Faults             []fault
}

// call is a caller that submits a key, and retries as long as the answer permits
// it.
type call struct {
	At               time.Duration
	Node, Key, Tries int
	// Other makes the call a different request with the same key.
	Other bool
	// RefusedOnce makes the first dispatch fail before anything is sent.
	RefusedOnce bool `yaml:"refusedOnce"`
	// AnswerLost makes the service execute the call but its response get lost.
	AnswerLost bool `yaml:"answerLost"`
	// KeyAge is the age of the key at the start of the simulation.
	KeyAge time.Duration `yaml:"keyAge"`
	// Output is the size of the output. 0 means a short text.
	Output int
}

type fault struct {
	Kind    string
	Node    int
	At, For time.Duration
}

var faultKinds = []string{"none", "outage", "data centre cut off", "lost responses", "delayed appends", "duplicate appends", "rejected appends", "slow tail", "frozen", "restart"}

// variant is the correct protocol or a broken one.
type variant struct {
	name string
	// claim claims a key and returns the function that records the outcome.
	claim func(ctx context.Context, n *node, k claim.Key, d claim.Digest) (finishFunc, error)
	// setUp modifies a node before it is started.
	setUp func(n *node)
	// retriesLostResponses treats a call whose response was lost as not run.
	retriesLostResponses bool
}

type finishFunc func(ctx context.Context, o request.Outcome, output []byte) error

func claimKey(ctx context.Context, n *node, k claim.Key, d claim.Digest) (finishFunc, error) {
	t, err := n.claimer.Claim(ctx, k, "contagem", d)
	if err != nil {
		return nil, err
	}
	return t.Finish, nil
}

// simulation is the state and the history of one simulated schedule.
type simulation struct {
	variant  variant
	schedule schedule
	started  time.Time
	log      *fakeLog

	mu    sync.Mutex
	nodes [4]*node
	// replaced holds the nodes that were stopped by a restart fault.
	replaced []*node
	tries    int
	runs     []run
	answers  []answer
	history  map[claim.Key][]porcupine.Operation
}

// run is one execution of a call by the simulated service.
type run struct {
	try int
	key claim.Key
}

type answer struct {
	at      time.Duration
	try     int
	call    call
	outcome request.Outcome
	text    string
}

// simulate runs a schedule on a simulated clock.
func simulate(t *testing.T, v variant, schedule schedule) *simulation {
	s := &simulation{variant: v, schedule: schedule, history: map[claim.Key][]porcupine.Operation{}}
	synctest.Test(t, func(*testing.T) {
		s.started = time.Now()
		s.log = &fakeLog{retention: schedule.Retention, changed: make(chan struct{})}
		for i := range s.nodes {
			s.startNode(i)
		}
		synctest.Wait() // all nodes have started to read the log
		var group sync.WaitGroup
		for _, f := range schedule.Faults {
			group.Go(func() { s.inject(f) })
		}
		for _, c := range schedule.Calls {
			group.Go(func() { s.submit(c) })
		}
		group.Wait()
		time.Sleep(time.Minute)
		for _, n := range append(s.replaced, s.nodes[:]...) {
			n.stop()
			n.done.Wait()
		}
	})
	return s
}

func (s *simulation) startNode(i int) {
	s.nodes[i] = newNode(s.log, fmt.Sprint("node", i), s.schedule.Timeout)
	if s.variant.setUp != nil {
		s.variant.setUp(s.nodes[i])
	}
	s.nodes[i].start()
}

// keyAt returns a UUIDv7 with a timestamp and the number n.
func keyAt(t time.Time, n int) claim.Key {
	k := claim.Key{6: 0x70, 8: 0x80, 14: byte(n >> 8), 15: byte(n)}
	for i, ms := 5, t.UnixMilli(); i >= 0; i, ms = i-1, ms>>8 {
		k[i] = byte(ms)
	}
	return k
}

func (s *simulation) inject(f fault) {
	time.Sleep(f.At)
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, nodes := f.Kind, s.nodes[f.Node:][:1]
	switch kind {
	case "outage":
		kind, nodes = "disconnected", s.nodes[:]
	case "data centre cut off":
		kind, nodes = "disconnected", s.nodes[f.Node/2*2:][:2]
	case "restart":
		s.nodes[f.Node].stop()
		s.replaced = append(s.replaced, s.nodes[f.Node])
		s.startNode(f.Node)
	}
	for _, n := range nodes {
		n.mu.Lock()
		n.faultEnds[kind] = time.Now().Add(f.For)
		n.mu.Unlock()
	}
}

func (s *simulation) submit(c call) {
	time.Sleep(c.At)
	for i := range c.Tries {
		if a, repeat := s.submitOnce(c, i); !repeat {
			return
		} else if a.outcome != 0 {
			time.Sleep(time.Second)
		}
	}
}

// submitOnce submits a call once and reports whether the caller should retry it. A
// node that is stopped gives no answer.
func (s *simulation) submitOnce(c call, number int) (a answer, repeat bool) {
	s.mu.Lock()
	s.tries++
	n := s.nodes[c.Node]
	a = answer{try: s.tries, call: c}
	s.mu.Unlock()
	k := keyAt(s.started.Add(-c.KeyAge), c.Key)
	var digest claim.Digest
	if c.Other {
		digest[0] = 1
	}
	n.waitWhileFrozen()
	called := s.now()
	finish, err := s.variant.claim(n.ctx, n, k, digest)
	if err == nil {
		s.recordOperation(operation{"won", ""}, k, called, s.now())
	}
	switch {
	case !n.waitWhileFrozen():
		return a, true
	case err != nil:
		return s.handleRefusal(a, k, called, err)
	case c.RefusedOnce && number == 0:
		s.finishClaim(k, finish, request.NotRun, "")
		return s.recordAnswer(a, request.NotRun, "server rejected the call"), true
	}
	output := fmt.Sprintf("result of try %d%*s", a.try, c.Output, "")
	s.mu.Lock()
	s.runs = append(s.runs, run{a.try, k})
	s.mu.Unlock()
	time.Sleep(50 * time.Millisecond) // the service time
	switch {
	case !n.waitWhileFrozen():
		return a, true
	case c.AnswerLost && s.variant.retriesLostResponses:
		s.finishClaim(k, finish, request.NotRun, "")
		return a, true
	case c.AnswerLost:
		s.finishClaim(k, finish, request.MayHaveRun, "")
		return s.recordAnswer(a, request.MayHaveRun, "response lost"), true
	}
	s.finishClaim(k, finish, request.Ran, output)
	return s.recordAnswer(a, request.Ran, "ran"), false
}

func (s *simulation) handleRefusal(a answer, k claim.Key, called int64, err error) (answer, bool) {
	var ran claim.AlreadyRanError
	if errors.As(err, &ran) {
		s.recordOperation(operation{"read ran", string(ran.Result.Output)}, k, called, s.now())
		text := fmt.Sprintf("%v: %.16q, length %d", err, ran.Result.Output, ran.Result.Length)
		return s.recordAnswer(a, request.Ran, text), false
	}
	f := request.AsFailure(err)
	if f.Reason == request.ReasonOutcomeUnknown {
		s.recordOperation(operation{"read mayHaveRun", ""}, k, called, s.now())
	}
	return s.recordAnswer(a, f.Outcome(), err.Error()), f.Reason.AllowsRequestRetry()
}

func (s *simulation) recordAnswer(a answer, o request.Outcome, text string) answer {
	a.at, a.outcome, a.text = time.Since(s.started), o, text
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = append(s.answers, a)
	return a
}

// finishClaim records an outcome. If it is still pending, it can take effect at
// any later time.
func (s *simulation) finishClaim(k claim.Key, finish finishFunc, o request.Outcome, output string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	called, returned := s.now(), int64(math.MaxInt64)
	if err := finish(ctx, o, []byte(output)); err == nil {
		returned = s.now()
	}
	s.recordOperation(operation{o.String(), string(claim.NewResult([]byte(output)).Output)}, k, called, returned)
}

func (s *simulation) now() int64 { return int64(time.Since(s.started)) }

// operation is an operation on a key as its caller observed it.
type operation struct{ name, output string }

func (s *simulation) recordOperation(o operation, k claim.Key, called, returned int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := len(s.history[k])
	s.history[k] = append(s.history[k], porcupine.Operation{ClientId: id, Input: o, Call: called, Return: returned})
}

// keyModel is the state machine of one key: free, claimed, or final with an
// outcome.
var keyModel = porcupine.Model{
	Init: func() any { return "free" },
	Step: func(state, input, _ any) (bool, any) {
		o := input.(operation)
		switch o.name {
		case "won":
			return state == "free", "claimed"
		case "notRun":
			return state == "claimed", "free"
		case "ran", "mayHaveRun":
			return state == "claimed", o.name + o.output
		}
		return state == o.name[len("read "):]+o.output, state
	},
}

// violation describes the first violated guarantee, or returns "".
func (s *simulation) violation() string {
	perKey, ran := map[claim.Key]int{}, map[int]bool{}
	for _, r := range s.runs {
		ran[r.try] = true
		if perKey[r.key]++; perKey[r.key] > 1 {
			return "a key ran twice"
		}
	}
	for _, a := range s.answers {
		if a.outcome == request.NotRun && ran[a.try] {
			return "a call reported as not run has run"
		}
	}
	for k, h := range s.history {
		if s.viewsDiffer(k) {
			return "two nodes have different states of a key"
		}
		if !porcupine.CheckOperations(keyModel, h) {
			return "the answers are not linearizable"
		}
	}
	return ""
}

// viewsDiffer reports whether two nodes that have read all records of a key, the
// last ones included, hold different states of it.
func (s *simulation) viewsDiffer(k claim.Key) bool {
	var first string
	for _, n := range s.nodes {
		q := n.table.Queries()
		stream := claim.StreamOf(k)
		st, ok := q.State(k)
		if !q.HasAllRecords(k) || !ok || q.AppliedThrough(claim.StreamName(stream)) < uint64(len(s.log.streams[stream])) {
			continue
		}
		c, _ := st.ActiveClaim()
		view := fmt.Sprint(c, st.WaitingCount(), st.Outcome(), st.Result())
		if first != "" && view != first {
			return true
		}
		first = view
	}
	return false
}
