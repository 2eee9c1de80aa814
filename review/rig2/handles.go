//go:build review2

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"lycheecrank.example/platform"
	"lycheecrank.example/standin/site"
)

const (
	// A round sends two clumps of requests. Between them, a worker of the first stage
	// restarts, while requests of the first clump wait for the second stage.
	rounds      = 6
	firstClump  = 8
	secondClump = 8
	roundTime   = 6000 * time.Millisecond
)

// playHandles restarts a worker of a first stage under its id while requests wait for a
// second stage, and compares the results that pieces and models read with their requests.
func playHandles(folder string, isTroubled bool) bool {
	store := site.NewStore()
	defer store.Close()
	var mu sync.Mutex
	foreign, pieces, runs := 0, 0, 0
	check := func(what, reader, id string, inputs []result) {
		mu.Lock()
		defer mu.Unlock()
		for _, in := range inputs {
			if in.ID != id {
				foreign++
				record("MIXED: %s of request %s at %s is given the result of request %s, stage %d, piece %d, key %q", what, id, reader, in.ID, in.Stage, in.Piece, in.Key)
			}
		}
	}
	onPiece := func(w *worker, item stageItem, inputs []result) {
		mu.Lock()
		pieces++
		mu.Unlock()
		check(fmt.Sprintf("piece %d of stage %d", item.Piece, item.Stage), w.id, item.ID, inputs)
	}
	onInputs := func(w *worker, id string, inputs []result) {
		mu.Lock()
		runs++
		mu.Unlock()
		record("model %s runs request %s with %d results", w.id, id, len(inputs))
		check("the model's run", w.id, id, inputs)
	}
	first := &worker{id: "i-intake-1", service: "lab-intake"}
	workers := []*worker{
		first,
		{id: "i-notify-1", service: "retailer-notify"},
		{id: "i-model-1", service: "lycheecrank-pool"},
		{id: "i-model-2", service: "lycheecrank-pool"},
	}
	for _, w := range workers {
		w.store, w.slots, w.work, w.perItem, w.onPiece = store, 1, 200*time.Millisecond, 6*time.Millisecond, onPiece
		switch w.service {
		case "retailer-notify":
			w.perItem = 14 * time.Millisecond
		case "lycheecrank-pool":
			w.slots, w.work, w.events, w.onInputs = 64, 20*time.Millisecond, 6, onInputs
		}
		w.start()
		defer w.crash()
	}
	stage := func(slots, batch int, callMs, itemMs float64) map[string]any {
		return map[string]any{"slots": slots, "queue": 2, "batch": batch, "callMs": callMs, "itemMs": itemMs, "headroomMb": 27, "handleS": 4, "linkMbps": 10000}
	}
	store.PutJSON(platform.OperatorStream, platform.ConfigurationKey, map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "notice-draft", "host": "notice.example", "pathPrefix": "/n/", "kind": "streaming", "service": "lycheecrank-pool", "maxAttempts": 2,
			"timeoutMs": 6000, "targetLatencyMs": 1800, "targetGapMs": 200, "sessionAffinity": true,
			"stages": []map[string]any{{"service": "lab-intake", "after": []int{}, "bytes": 8000}, {"service": "retailer-notify", "after": []int{0}, "bytes": 8000}},
		}},
		"services": []map[string]any{
			{"name": "lycheecrank-pool", "engine": map[string]any{"slots": 64, "kvCapacity": 367584, "kvTokenBytes": 100}},
			{"name": "lab-intake", "pieces": stage(1, 28, 200, 6)},
			{"name": "retailer-notify", "pieces": stage(1, 12, 200, 14)},
		},
		"limits": limits,
	})
	d := newDeployment(folder, store.Address(), 2, 284)
	d.start()
	defer d.stop()
	requests := &load{byStatus: map[int]int{}}
	client := &http.Client{Timeout: 10 * time.Second}
	number := 0
	send := func(count int) {
		for range count {
			number++
			q := request{
				method: "POST", host: "notice.example", path: "/n/x", id: fmt.Sprintf("%016x", 0x1c41d07be2a30000+number), deadlineMs: 6000, body: "draft",
				header: map[string]string{
					"Model": "m", "Token-Usage": "1460,24", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:568,%08x:892", 0x91b00000+number),
					"Pieces": "3,12", "Piece-Key": fmt.Sprintf("key-%d", number),
				},
			}
			m := d.machines[number%len(d.machines)]
			requests.group.Go(func() {
				status, text := q.send(client, m)
				requests.mu.Lock()
				requests.byStatus[status]++
				requests.mu.Unlock()
				requests.report(q, m, status, text)
			})
		}
	}
	time.Sleep(2 * time.Second)
	restarts := 0
	for range rounds {
		send(firstClump)
		time.Sleep(700 * time.Millisecond)
		if isTroubled {
			first.crash()
			time.Sleep(100 * time.Millisecond)
			first.start()
			restarts++
			record("worker %s has crashed and starts again under its id", first.id)
		}
		send(secondClump)
		time.Sleep(roundTime)
	}
	requests.group.Wait()
	mu.Lock()
	defer mu.Unlock()
	record("answers by status %v", requests.statuses())
	record("%d restarts, %d pieces computed, %d model runs, %d results of another request were read", restarts, pieces, runs, foreign)
	return foreign > 0
}
