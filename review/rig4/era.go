//go:build review3

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// configApplyTime and stableWindow are configApplyMs and stableWindowMs of the sheet.
	configApplyTime = 2 * time.Second
	stableWindow    = 3 * time.Second
	keptKey         = "9dnn2ctnfzs989anu6ws"
	revokedKey      = "jnbanfqasnmgkcuyj8pj"
)

// eraConfig brings the store back from a copy that is 5.5 s old, and then has the operator
// move a route, drop another one, add a third and take a key away.
func eraConfig() bool {
	s := startStore()
	all := newInstances(folder, "helsinki-a", "helsinki-b", "espoo")
	log := &runLog{}
	for n := range 3 {
		for _, service := range []string{"registry", "portal"} {
			w := &worker{id: fmt.Sprintf("i-%s-%d", service, n), service: service, zone: all[n].zone, store: s, log: log, work: 10 * time.Millisecond, slots: 6}
			w.start()
		}
	}
	first := func(version, timeoutMs int) configuration {
		return configuration{
			version: version, services: []object{plainService("registry"), plainService("portal")}, keys: []string{keptKey, revokedKey},
			routes: []object{
				routeOf("lookup", "/lookup/", "safe", "registry", object{"timeoutMs": timeoutMs}),
				routeOf("old", "/old/", "safe", "registry", object{"timeoutMs": timeoutMs}),
			},
		}
	}
	last := first(14, 800)
	last.routes = []object{routeOf("lookup", "/lookup/", "safe", "portal", nil), routeOf("new", "/new/", "safe", "portal", nil)}
	last.keys = []string{keptKey}

	first(3, 800).write(s)
	startInstances(s, all)
	awaitReady(all, 15*time.Second)
	note("all instances are ready")
	start := time.Now()
	c := newClients()
	end := start.Add(27 * time.Second)
	with := func(key string) func(int) []string {
		return func(int) []string { return []string{"Authorization", "Token " + key} }
	}
	c.every(50*time.Millisecond, end, all, http.MethodGet, "/lookup/a", 1500*time.Millisecond, with(keptKey))
	c.every(200*time.Millisecond, end, all, http.MethodGet, "/old/a", 1500*time.Millisecond, with(keptKey))
	c.every(200*time.Millisecond, end, all, http.MethodGet, "/lookup/b", 1500*time.Millisecond, with(revokedKey))

	waitUntil(start, 4*time.Second)
	older := s.copyAll()
	note("the copy of the store is made, keyed.op ends at %d, keyed.servers at %d", s.end("keyed.op"), s.end("keyed.servers"))
	waitUntil(start, 4500*time.Millisecond)
	first(5, 850).write(s)
	waitUntil(start, 6*time.Second)
	first(8, 900).write(s)
	waitUntil(start, 7500*time.Millisecond)
	first(9, 800).write(s)
	if hasTrouble {
		waitUntil(start, 8500*time.Millisecond)
		note("the store is away, keyed.op ends at %d, keyed.servers at %d", s.end("keyed.op"), s.end("keyed.servers"))
		s.setDown(true)
		waitUntil(start, 9500*time.Millisecond)
		s.restore(older)
		note("the store is back from the copy, keyed.op ends at %d, keyed.servers at %d", s.end("keyed.op"), s.end("keyed.servers"))
		waitUntil(start, 10*time.Second)
		note("the operator writes its configuration again")
		first(9, 800).write(s)
	}
	// All machines are in touch from 12.5 s on.
	waitUntil(start, 16*time.Second)
	last.write(s)
	acknowledgedAt := time.Now()
	c.every(200*time.Millisecond, end, all, http.MethodGet, "/new/a", 1500*time.Millisecond, with(keptKey))
	c.group.Wait()
	return checkConfig(c.all(), log.all(), start, acknowledgedAt)
}

// checkConfig reports whether requests that were sent later than configApplyMs after the
// acknowledgement were handled as only an older version allows.
func checkConfig(attempts []attempt, runs []run, start, acknowledgedAt time.Time) bool {
	byID := map[string][]run{}
	for _, r := range runs {
		byID[r.id] = append(byID[r.id], r)
	}
	early, served, late := 0, 0, 0
	counts := map[string]int{}
	for _, a := range attempts {
		ran := byID[a.id]
		names := ""
		for _, r := range ran {
			names += " " + r.worker
		}
		note("attempt %s %s at %s, sent %.3f, answered %.3f: status %d, error %v, ran at%s", a.id, a.path, a.instance, since(a.sentAt), since(a.endedAt), a.status, a.err, names)
		if a.sentAt.Before(start.Add(4 * time.Second)) {
			early++
			if a.status == http.StatusOK {
				served++
			}
		}
		if !a.sentAt.After(acknowledgedAt.Add(configApplyTime)) {
			continue
		}
		late++
		switch {
		case a.path == "/lookup/a" && len(ran) > 0 && ran[0].service == "registry":
			counts["run by the old service"]++
		case a.path == "/old/a" && len(ran) > 0:
			counts["run with the dropped route"]++
		case a.path == "/lookup/b" && len(ran) > 0:
			counts["run with the dropped key"]++
		case a.path == "/new/a" && a.status == http.StatusNotFound:
			counts["refused with 404 though the route is there"]++
		}
	}
	note("before the disruption %d of %d attempts were served", served, early)
	if served*10 < early*9 {
		cannotRun("the site doesn't serve in calm")
	}
	total := 0
	for what, n := range counts {
		note("%d attempts were %s", n, what)
		total += n
	}
	note("%d of %d attempts sent later than %v after the acknowledgement (%.3f) were handled as only an older version allows", total, late, configApplyTime, since(acknowledgedAt))
	return total > 0
}
