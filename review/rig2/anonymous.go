//go:build review2

package main

import (
	"fmt"
	"time"

	"lycheecrank.example/platform"
	"lycheecrank.example/standin/site"
)

const (
	// leaveEach is the part of the clients that leave early, leaveAfter when they do.
	leaveEach  = 4
	leaveAfter = 300 * time.Millisecond
)

// playAnonymous adds requests without an Attempt-Id, with different numbers of pieces, to
// ordinary ones. Some of their clients leave before the answer.
func playAnonymous(folder string, isTroubled bool) bool {
	store := site.NewStore()
	defer store.Close()
	for n := range 2 {
		model := &worker{id: fmt.Sprintf("i-model-%d", n+1), service: "lycheecrank-pool", slots: 64, store: store, work: 20 * time.Millisecond, events: 6}
		intake := &worker{id: fmt.Sprintf("i-intake-%d", n+1), service: "lab-intake", slots: 1, store: store, work: 200 * time.Millisecond, perItem: 6 * time.Millisecond}
		for _, w := range []*worker{model, intake} {
			w.start()
			defer w.crash()
		}
	}
	store.PutJSON(platform.OperatorStream, platform.ConfigurationKey, map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "notice-draft", "host": "notice.example", "pathPrefix": "/n/", "kind": "streaming", "service": "lycheecrank-pool", "maxAttempts": 2,
			"timeoutMs": 6000, "targetLatencyMs": 1800, "targetGapMs": 200, "sessionAffinity": true,
			"stages": []map[string]any{{"service": "lab-intake", "after": []int{}, "bytes": 8000}},
		}},
		"services": []map[string]any{
			{"name": "lycheecrank-pool", "engine": map[string]any{"slots": 64, "kvCapacity": 367584, "kvTokenBytes": 100}},
			{"name": "lab-intake", "pieces": map[string]any{"slots": 1, "queue": 2, "batch": 28, "callMs": 200, "itemMs": 6, "headroomMb": 4, "handleS": 4, "linkMbps": 10000}},
		},
		"limits": limits,
	})
	d := newDeployment(folder, store.Address(), 2, 284)
	d.start()
	defer d.stop()
	time.Sleep(2 * time.Second)
	draft := func(id string, n, pieces int) request {
		return request{
			method: "POST", host: "notice.example", path: "/n/x", id: id, deadlineMs: 6000, body: "draft",
			header: map[string]string{
				"Model": "m", "Token-Usage": "1460,24", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:568,%08x:892", 0x91b00000+n),
				"Pieces": fmt.Sprint(pieces), "Piece-Key": fmt.Sprintf("key-%d", n),
			},
		}
	}
	ordinary := startLoad(d, 6, func(n int) request { return draft(fmt.Sprintf("%016x", 0x1c41d07be2a30000+n), n, 3) })
	var anonymous *load
	if isTroubled {
		anonymous = startLoad(d, 6, func(n int) request {
			q := draft("", 1<<16+n, 1+(n*3)%8)
			if n%leaveEach == 0 {
				q.leaveAfter = leaveAfter
			}
			return q
		})
	}
	for until := time.Now().Add(80 * time.Second); time.Now().Before(until) && countEnded(d) < neededMachines; {
		time.Sleep(4 * time.Second)
	}
	ordinary.stop()
	if anonymous != nil {
		anonymous.stop()
		record("requests without an Attempt-Id by status, 0 for none: %v", anonymous.statuses())
	}
	record("ordinary requests by status, 0 for none: %v", ordinary.statuses())
	return countEnded(d) >= neededMachines
}
