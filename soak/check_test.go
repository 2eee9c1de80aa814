package soak

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"lycheecrank.example/drain"
	"lycheecrank.example/standin/site"
)

// notRun are the statuses that promise that a request has not run.
var notRun = []int{408, 421, 429, 503}

// ran is a run of an attempt at a worker.
type ran struct {
	worker string
	site.Run
}

// check compares what the clients saw with what the workers ran.
func (s *soakSite) check(seen [][]outcome) {
	runs := map[string][]ran{}
	for id, w := range s.workers {
		for _, r := range w.Runs() {
			runs[r.Attempt] = append(runs[r.Attempt], ran{id, r})
			if r.Header.Get("Tenant") != "parents" || r.Header.Get("Authorization") != "" || r.Header.Get("Expect-Instance") != id {
				s.t.Errorf("worker %s got attempt %s with tenant %q, key %q, for worker %q", id, r.Attempt,
					r.Header.Get("Tenant"), r.Header.Get("Authorization"), r.Header.Get("Expect-Instance"))
			}
		}
	}
	tally := map[string]int{}
	for _, outcomes := range seen {
		for _, o := range outcomes {
			if o.sentAt > 0 {
				tally[fmt.Sprint(o.route, " ", o.status)]++
			}
			if fault := cmp.Or(o.fault(runs[o.id]), s.stopFault(o, len(runs[o.id]))); fault != "" {
				s.t.Errorf("at %v %s of attempt %s at %s: status %d, whole %v, body %q, runs %d, sent at %v, on a used connection %v, ended at %v: %s",
					o.at, o.route, o.id, o.instance, o.status, o.isWhole, o.body, len(runs[o.id]), o.sentAt, o.isReused, o.endedAt, fault)
			}
		}
	}
	s.t.Logf("%d faults, planned stops %v, outcomes %v", len(s.faults), s.stops, tally)
	if tally["order 200"] == 0 || tally["draft 200"] == 0 {
		s.t.Error("no request was served")
	}
}

// fault returns what is wrong with an outcome, empty if nothing is.
func (o outcome) fault(runs []ran) string {
	most := map[string]int{"order": 1, "lookup": 2, "draft": 2}[o.route]
	switch {
	case len(runs) > most:
		return "ran too often"
	case slices.Contains(notRun, o.status) && len(runs) > 0:
		return "is said not to have run"
	case o.status == 404 && o.route != "nothing":
		return "the route is there"
	case o.status == 401:
		return "the key is right"
	case o.status/100 != 2:
		return ""
	case o.route == "nothing":
		return "the route is not there"
	case o.route == "draft":
		return o.streamFault()
	case o.isWhole && !slices.ContainsFunc(runs, func(r ran) bool { return o.isAnswerOf(r.worker) }):
		return "is no answer of a worker that ran it"
	}
	return ""
}

func (o outcome) isAnswerOf(worker string) bool {
	return o.body == fmt.Sprintf("answer of %s to %s", worker, o.id) && o.seal == "seal-of-"+worker
}

// streamFault returns what is wrong with a stream: a whole one has all events, any
// other one the first of them.
func (o outcome) streamFault() string {
	switch {
	case o.isWhole && o.body != wholeStream():
		return "is not the whole stream"
	case !strings.HasPrefix(wholeStream(), o.body):
		return "events are missing, doubled or joined"
	case !strings.HasPrefix(o.seal, "seal-of-models"):
		return "has no seal of its worker"
	}
	return ""
}

const (
	// calmTime is how long before a request its instance must have been undisturbed.
	calmTime = 3 * time.Second
	// crossingTime bounds the time in which a client notices that its request has crossed
	// the close of an idle connection.
	crossingTime = 500 * time.Millisecond
)

// span is a time of an instance, as times since the start of the run.
type span struct {
	instance    string
	from, until time.Duration
}

// meets reports whether an attempt at the instance was under way in the span, or began
// within a time after it.
func (p span) meets(o outcome, after time.Duration) bool {
	return p.instance == o.instance && o.endedAt >= p.from && o.at <= p.until+after
}

// beginSpan returns a function that adds the time of an instance until then to a list.
func (s *soakSite) beginSpan(list *[]span, i *instance) func() {
	from := time.Since(s.began)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		*list = append(*list, span{i.name, from, time.Since(s.began)})
	}
}

// stopFault reports that the connection of a whole request ended without an answer in a
// planned stop of its instance, whose process and whose link to the clients had no other
// fault. A request that crossed the close of an idle connection or of the listener is
// allowed: no worker has run it, and the instance hasn't read it.
func (s *soakSite) stopFault(o outcome, runs int) string {
	n := slices.IndexFunc(s.stops, func(p span) bool { return p.meets(o, 0) })
	isDisturbed := slices.ContainsFunc(s.disturbed, func(p span) bool { return p.meets(o, calmTime) })
	if o.status != 0 || o.sentAt == 0 || n < 0 || isDisturbed {
		return ""
	}
	wasRead := slices.ContainsFunc(s.instances, func(i *instance) bool { return bytes.Contains(i.readLog(), fmt.Appendf(nil, "%q", o.id)) })
	mayCross := o.isReused || o.sentAt > s.stops[n].from+drain.BalancerLag
	if mayCross && runs == 0 && !wasRead && o.endedAt-o.sentAt < crossingTime {
		return ""
	}
	return "has no answer in a planned stop"
}
