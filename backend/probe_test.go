package backend_test

import (
	"testing"
	"time"

	"lycheecrank.example/backend"
)

// Guards against a server that stays cold for ever because its only measured response was
// slow, while another server has room for all steps. The figures are those of an engine
// after a restart, which becomes warm by 12 requests, at 12 requests a second.
func TestColdServerWithSlowResponseWarmsUp(t *testing.T) {
	h := newHistory(newSpec("warm"))
	h.permission.ProbesCold = true
	h.makeWarm("warm", 150*ms)
	c := h.table.Commands()
	c.Sync([]backend.Spec{newSpec("restarted"), newSpec("warm")}, h.now)
	c.Reserve("p", 0, []string{"warm"}, h.permission, h.now)
	c.Release("restarted", success(800*ms), h.now)
	h.record("slow response")

	const (
		interval    = 83 * ms
		coldFor     = 12
		serviceTime = 150 * ms
	)
	type step struct {
		server       string
		sentAt, ends time.Time
	}
	var inFlight []step
	served := map[string]int{}
	for range int(30 * time.Second / interval) {
		h.wait(interval)
		var running []step
		for _, s := range inFlight {
			if h.now.Before(s.ends) {
				running = append(running, s)
				continue
			}
			served[s.server]++
			c.Release(s.server, backend.Observation{SentAt: s.sentAt, ResponseTime: serviceTime, Incarnation: "incarnation1"}, h.now)
		}
		inFlight = running
		c.ApplyReport("restarted", backend.Report{Incarnation: "incarnation1", Cold: served["restarted"] < coldFor, MeasuredAt: h.now}, h.now)
		if s, ok := c.Reserve("p", 0, nil, h.permission, h.now); ok {
			inFlight = append(inFlight, step{server: s.Name, sentAt: h.now, ends: h.now.Add(serviceTime)})
		}
	}
	h.record("after 30 s of load, all responses took %s", serviceTime)
	assertGolden(t, "coldServerWithSlowResponse", h.out.String())
}
