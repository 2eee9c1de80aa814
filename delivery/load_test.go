package delivery

import (
	"slices"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"lycheecrank.example/speed"
)

// Guards against a reported load that is lost, or that is attributed to another server or
// request, and against reports where servers send none.
func TestReportedLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		load := speed.Report{Running: 3, Slots: 6, Slowness: 1.5}
		for _, path := range []string{"/lookup/1", "/draft/1"} {
			r := newTestRouter()
			full, ok := notRunAnswer(), okAnswer(events(1, 2))
			full.answer.Load, ok.answer.Load = load, load
			r.script = []scriptedAnswer{full, ok}
			var reports []string
			r.OnLoad = func(server, id string, reported speed.Report) {
				is.Equal(reported, load)
				is.Equal(id, "a1")
				reports = append(reports, server)
				r.notifications = append(r.notifications, "load")
			}
			result := r.Deliver(t.Context(), r.attempt(path))
			is.Equal(result.Failure, nil)
			is.Equal(len(reports), 2)
			is.True(reports[0] != reports[1])
			if i := slices.Index(r.notifications, "first event "+result.Server); i >= 0 {
				is.Equal(r.notifications[i-1], "load") // it is known when the first event is recorded
			}
			r = newTestRouter()
			r.script = []scriptedAnswer{okAnswer(events(1, 2))}
			is.Equal(r.Deliver(t.Context(), r.attempt(path)).Failure, nil)
		}
	})
}
