package entry

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/codec"
	"lycheecrank.example/console"
	"lycheecrank.example/counter"
	"lycheecrank.example/platform"
	"lycheecrank.example/precedence"
)

// Guards against attempts that are missing in the latency histograms, a reported status
// that differs from the state of the instance, and a metrics page that can't be parsed.
func TestMetrics(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newTestSite(t)
	s.start("n1")
	n := s.instances[0]
	status, _, _ := n.send("POST", "/order/1", "key-1")
	is.Equal(status, 200)
	status, _, _ = n.send("POST", "/draft/1", "key-1")
	is.Equal(status, 200)
	status, _, _ = n.send("GET", "/nothing/1", "key-1")
	is.Equal(status, 404)
	s.waitFor("both attempts are recorded", func() bool { return len(n.latencies.attempts.Values()) == 2 })
	answers, first := n.latencies.attempts.Values(), n.latencies.firstEvents.Values()
	is.Equal(answers["order"].Count, int64(1))
	is.Equal(answers["draft"].Count, int64(1))
	is.Equal(len(first), 1) // only streams have a first event
	is.True(first["draft"].Max > 0)
	is.True(first["draft"].Max <= answers["draft"].Max)
	is.Equal(n.latencies.preparations.Values()["models"].Count, int64(1))
	is.True(n.latencies.stageCalls.Values()["encode"].Count >= 1)
	is.True(n.latencies.stageCalls.Values()["rerank"].Count >= 1)

	state := n.status()
	is.Equal(state.ConfigurationVersion, int64(s.version))
	is.True(state.IsCoordinator)
	is.True(state.IsReady)
	is.Equal(state.Coordinator, "n1")
	is.Equal(state.Servers["models"].Usable, 2)
	is.Equal(len(state.Queues), 2)
	is.Equal(state.Queues[0].Servers, 2)
	s.announce("models-1", "models", "draining")
	s.waitFor("the draining server is counted", func() bool { return n.status().Servers["models"].Draining == 1 })

	page := httptest.NewRecorder()
	expvar.Handler().ServeHTTP(page, httptest.NewRequest("GET", "/debug/vars", nil))
	var vars map[string]json.RawMessage
	is.NoErr(json.Unmarshal(page.Body.Bytes(), &vars))
	for _, name := range []string{"answerMs", "firstEventMs", "preparationMs", "stageCallMs", "beliefs", "refusals", "retries", "storeCalls", "preparation"} {
		is.True(vars[name] != nil)
	}
	var latencies map[string]counter.LatencySummary
	is.NoErr(json.Unmarshal(vars["answerMs"], &latencies))
	is.True(time.Duration(latencies["order"].Max)*time.Millisecond < waitTimeout)
}

// Guards against requests without decision records, records that fail verification, and
// a truncated log that goes unnoticed.
func TestDecisions(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newTestSite(t)
	s.start("n1")
	n := s.instances[0]
	status, _, _ := n.send("POST", "/order/1", "key-1")
	is.Equal(status, 200)
	status, _, _ = n.send("POST", "/draft/1", "key-1")
	is.Equal(status, 200)
	n.stop()
	is.NoErr(<-n.done)

	anchors := func(context.Context) ([]precedence.Anchor, error) {
		value, ok := s.store.Newest(platform.DecisionStream, "n1@"+n.decisions.anchor.Incarnation)
		is.True(ok)
		var a precedence.Anchor
		is.NoErr(codec.Unmarshal(value, &a))
		return []precedence.Anchor{a}, nil
	}
	lines := n.log.String()
	k, err := console.NewLogConsole(anchors, strings.NewReader(lines))
	is.NoErr(err)
	v, err := k.Queries().Verify(t.Context(), nil)
	is.NoErr(err)
	is.True(v.Intact())
	is.Equal(len(v.Anchors), 0)
	is.Equal(len(v.Report.Chains), 1)
	// Each request has an admission and an end, the draft also a placement.
	is.Equal(v.Report.Chains[0].LastSequence, uint64(5))

	// 802 is the number of event.DecisionRecords. Another number hides its lines.
	truncated, err := console.NewLogConsole(anchors, strings.NewReader(strings.ReplaceAll(lines, `"event":802`, `"event":0`)))
	is.NoErr(err)
	_, err = truncated.Queries().Verify(t.Context(), nil)
	is.True(errors.Is(err, console.ErrViolated)) // the anchor shows that records are missing
}
