//go:build review2

package main

import (
	"fmt"
	"strings"
	"time"

	"lycheecrank.example/platform"
	"lycheecrank.example/standin/site"
)

// playPrompts sends streams at the usual rate of a small deployment, whose prompts consist of many parts: the
// header Prompt-Prefix is as long as maxHeaderBytes allows.
func playPrompts(folder string, isTroubled bool) bool {
	store := site.NewStore()
	defer store.Close()
	for n := range envInt("ENGINES", 18) {
		w := &worker{id: fmt.Sprintf("i-model-%d", n+1), service: "lycheecrank-pool", slots: 64, store: store, work: 20 * time.Millisecond, events: 6}
		w.start()
		defer w.crash()
	}
	store.PutJSON(platform.OperatorStream, platform.ConfigurationKey, map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "parent-chat", "host": "chat.example", "pathPrefix": "/c/", "kind": "streaming", "service": "lycheecrank-pool", "maxAttempts": 1,
			"timeoutMs": 20000, "targetLatencyMs": 1700, "targetGapMs": 200, "sessionAffinity": true,
		}},
		"services": []map[string]any{{"name": "lycheecrank-pool", "engine": map[string]any{"slots": 64, "kvCapacity": 367584, "kvTokenBytes": 100}}},
		"limits":   limits,
	})
	d := newDeployment(folder, store.Address(), 2, int64(envInt("MEM", 144)))
	d.start()
	defer d.stop()
	parts := 3
	if isTroubled {
		parts = envInt("PARTS", 1350)
	}
	streams := startLoad(d, envInt("RATE", 55), func(n int) request {
		var prefix strings.Builder
		for k := range parts {
			fmt.Fprintf(&prefix, ",%08x:1", n*2048+k)
		}
		return request{
			method: "POST", host: "chat.example", path: "/c/x", id: fmt.Sprintf("c-%d", n), deadlineMs: 6000, body: "chat",
			header: map[string]string{"Model": "m", "Token-Usage": fmt.Sprintf("%d,24", parts), "Prompt-Prefix": prefix.String()[1:]},
		}
	})
	for until := time.Now().Add(80 * time.Second); time.Now().Before(until) && countEnded(d) < neededMachines; {
		time.Sleep(5 * time.Second)
		record("resident at most %d MB and %d MB; streams by status %v", d.machines[0].peakMb(), d.machines[1].peakMb(), streams.statuses())
	}
	streams.stop()
	record("streams by status, 0 for none or a part of one: %v", streams.statuses())
	return countEnded(d) >= neededMachines
}
