//go:build review3

package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// crashSite is a small site with model workers, of which one part of a prompt crashes each.
type crashSite struct {
	store   *store
	all     []*instance
	log     *runLog
	workers []*worker
	clients *clients
	start   time.Time
}

func newCrashSite(workers int, routes ...object) *crashSite {
	s := &crashSite{store: startStore(), all: newInstances(folder, "helsinki-a", "helsinki-b", "espoo"), log: &runLog{}, clients: newClients()}
	for n := range workers {
		w := &worker{
			id: fmt.Sprintf("i-model-%d", n), service: "model", zone: s.all[n%3].zone, store: s.store, log: s.log,
			work: 15 * time.Millisecond, events: 10, slots: 64, downTime: 2500 * time.Millisecond,
		}
		w.start()
		s.workers = append(s.workers, w)
	}
	configuration{version: 3, services: []object{engineService("model")}, keys: []string{keptKey}, routes: routes}.write(s.store)
	startInstances(s.store, s.all)
	awaitReady(s.all, 15*time.Second)
	note("all instances are ready")
	s.start = time.Now()
	return s
}

func streamRoute(name, prefix string, maxAttempts int, isResumable bool) object {
	return routeOf(name, prefix, "streaming", "model", object{
		"timeoutMs": 6000, "targetLatencyMs": 1800, "priority": 0, "maxAttempts": maxAttempts, "sessionAffinity": true,
		"streamResume": isResumable, "targetGapMs": 200,
	})
}

// setCrash makes requests with a part crash the workers from now on.
func (s *crashSite) setCrash(part string, mode crashMode) {
	for _, w := range s.workers {
		w.mu.Lock()
		w.crashPart, w.mode = part, mode
		w.mu.Unlock()
	}
}

// prompt returns the headers of a request with some parts. The last one is its own.
func prompt(n int, parts string) []string {
	return []string{
		"Authorization", "Token " + keptKey, "Model", "m", "Token-Usage", "700,40",
		"Prompt-Prefix", fmt.Sprintf("%s,%x:50", parts, 0xa0000+n),
	}
}

// sendSound sends requests without the part until a time.
func (s *crashSite) sendSound(path string, until time.Time) {
	s.clients.every(100*time.Millisecond, until, s.all, http.MethodPost, path, 6*time.Second, func(n int) []string {
		return prompt(n, fmt.Sprintf("a%x:300,b%x:200", n%8, n%24))
	})
}

// checkPart reports whether more than three requests with a part reached workers later than
// stableWindowMs after the fifth crash, until a time.
func (s *crashSite) checkPart(part string, from, until time.Time) bool {
	var crashes []time.Time
	for _, w := range s.workers {
		for _, at := range w.crashTimes() {
			if at.After(from) && at.Before(until) {
				crashes = append(crashes, at)
			}
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	sent := 0
	var reached []run
	for _, r := range s.log.all() {
		if !hasPart(r.prefix, part) {
			continue
		}
		sent++
		note("worker %s began to run %s with %s at %.3f, last event %q, crashed %v", r.worker, r.id, part, since(r.at), r.lastEvent, r.hasCrashed)
		if len(crashes) >= 5 && r.at.After(crashes[4].Add(stableWindow)) {
			reached = append(reached, r)
		}
	}
	if len(crashes) < 5 {
		note("part %s: %d requests reached workers, %d crashes", part, sent, len(crashes))
		return false
	}
	note("part %s: %d crashes, the fifth at %.3f; %d requests reached workers, %d of them later than %v after the fifth crash (3 are allowed)",
		part, len(crashes), since(crashes[4]), sent, len(reached), stableWindow)
	return len(reached) > 3
}

// noteAttempts writes what the clients saw, and checks that the site serves sound requests
// before a time.
func (s *crashSite) noteAttempts(soundPath string, calmUntil time.Time) {
	sound, served := 0, 0
	for _, a := range s.clients.all() {
		note("attempt %s %s at %s, sent %.3f, answered %.3f: status %d, error %v, bytes %d, Retry-After %q", a.id, a.path, a.instance, since(a.sentAt), since(a.endedAt), a.status, a.err, len(a.body), a.retryAfter)
		if a.path == soundPath && a.sentAt.Before(calmUntil) {
			sound++
			if a.status == http.StatusOK && a.err == nil {
				served++
			}
		}
	}
	note("in calm %d of %d sound requests were served", served, sound)
	if served*10 < sound*9 {
		cannotRun("the site doesn't serve in calm")
	}
}

// crashUnseen has requests with a part crash each worker that begins to write its answer:
// first before a byte of it has left, then, with another part, after the first event.
func crashUnseen() bool {
	s := newCrashSite(9, streamRoute("draft", "/draft/", 2, true))
	end := s.start.Add(58 * time.Second)
	s.sendSound("/draft/sound", end)
	isBroken := false
	for n, round := range []struct {
		part string
		mode crashMode
		what string
	}{
		{"dead1", crashBeforeHead, "before a byte of the answer has left"},
		{"dead2", crashAfterEvent, "after the first event"},
	} {
		from := s.start.Add(time.Duration(4+n*28) * time.Second)
		until := from.Add(22 * time.Second)
		time.Sleep(time.Until(from))
		if hasTrouble {
			note("requests with %s crash the workers %s", round.part, round.what)
			s.setCrash(round.part, round.mode)
		}
		s.clients.every(1200*time.Millisecond, until, s.all, http.MethodPost, "/draft/crashing", 6*time.Second, func(n int) []string {
			return prompt(0x1000+n, fmt.Sprintf("a%x:300,%s:150", n%5, round.part))
		})
		time.Sleep(time.Until(until.Add(3 * time.Second)))
		isBroken = s.checkPart(round.part, from, until.Add(3*time.Second)) || isBroken
	}
	s.clients.group.Wait()
	s.noteAttempts("/draft/sound", s.start.Add(4*time.Second))
	return isBroken
}

// crashBursts sends requests with the part eight at a time.
func crashBursts() bool {
	s := newCrashSite(15, streamRoute("dossier", "/dossier/", 1, false))
	end := s.start.Add(36 * time.Second)
	s.sendSound("/dossier/sound", end)
	waitUntil(s.start, 4*time.Second)
	if hasTrouble {
		s.setCrash("dead", crashAtHead)
	}
	for burst := range 6 {
		waitUntil(s.start, time.Duration(5+5*burst)*time.Second)
		note("eight clients send requests with the part")
		for n := range 8 {
			s.clients.group.Add(1)
			go func() {
				defer s.clients.group.Done()
				s.clients.send(s.all[n%3], http.MethodPost, "/dossier/crashing", 6*time.Second, prompt(0x1000+burst*8+n, fmt.Sprintf("a%x:300,dead:150", n))...)
			}()
		}
	}
	s.clients.group.Wait()
	s.noteAttempts("/dossier/sound", s.start.Add(4*time.Second))
	return s.checkPart("dead", s.start, end.Add(time.Second))
}
