//go:build review

package main

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// freezeTime is how long an instance is frozen, freezeInterval the time from the start
	// of a freeze to the next one.
	freezeTime     = 4 * time.Second
	freezeInterval = 7900 * time.Millisecond
	freezes        = 12
	// registryWorkers is the number of workers of the plain service. While an instance is
	// frozen, some of them leave without a state draining. Others are started for them
	// after the freeze.
	registryWorkers = 4
	replaceTime     = 4500 * time.Millisecond
	// lingerTime is how long a worker serves after its entry was removed.
	lingerTime = 6 * time.Second
	// drainLimit is drainMs, touchTime is stableWindowMs.
	drainLimit = 2 * time.Second
	touchTime  = 3 * time.Second
	// workTime is the mean time of a request at a worker, workSpread its spread on a
	// logarithmic scale.
	workTime   = 30 * time.Millisecond
	workSpread = 0.5
	// lapseInstances is the number of instances, as in Serrana. lapseLoad is the mean load
	// in requests per second, twice that of Serrana, of which lapseClump come at once.
	lapseInstances = 8
	lapseLoad      = 30.2
	lapseClump     = 92
)

// leaveTimes are the times from the start of a freeze at which the workers leave.
var leaveTimes = []time.Duration{2200 * time.Millisecond, 2300 * time.Millisecond}

// leaving holds when the store accepted that workers leave, and when instances were
// frozen.
type leaving struct {
	clients *clients
	// started is the number of workers that were started.
	started int

	mu sync.Mutex
	// leftAt is when the store accepted that a worker is draining or gone.
	leftAt map[string]time.Time
	// frozen holds the end of the last freeze of each instance, in the future while it
	// lasts.
	frozen map[*instance]time.Time
	late   []string
}

// newRegistry starts the workers of a plain service and configures it.
func (s *site) newRegistry(perSecond float64) (*leaving, []*worker, error) {
	l := &leaving{leftAt: map[string]time.Time{}, frozen: map[*instance]time.Time{}}
	l.clients = s.newClients(perSecond, "/order/2f", 1500*time.Millisecond, func(string) http.Header { return http.Header{} })
	var current []*worker
	for range registryWorkers {
		w, err := l.add(s)
		if err != nil {
			return nil, nil, err
		}
		current = append(current, w)
	}
	s.configure(
		[]map[string]any{{
			"name": "order", "host": host, "pathPrefix": "/order/", "kind": "unsafe", "timeoutMs": 800, "targetLatencyMs": 150, "priority": 2,
			"service": "recall-registry", "maxAttempts": 1, "anonymous": false,
		}},
		[]map[string]any{{"name": "recall-registry", "healthPath": "/healthz", "maxConnections": 96, "coldStartS": 0.0, "coldPerS": 0.0}},
	)
	return l, current, nil
}

// add starts one more worker.
func (l *leaving) add(s *site) (*worker, error) {
	l.started++
	return s.newWorker(fmt.Sprintf("i-registry-%d", l.started), "recall-registry", l.started, 6, l.handler)
}

// arrive checks a request that reaches a worker.
func (l *leaving) arrive(w *worker, id string) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	sent, ok := l.clients.of(id)
	left, isLeaving := l.leftAt[w.id]
	if !ok || !isLeaving {
		return
	}
	since := now.Sub(left)
	isInTouch := now.Sub(l.frozen[sent.instance]) > touchTime
	w.site.record.write("%s reaches %s by %s, %d ms after the store accepted that the worker leaves", id, w.id, sent.instance.name, since.Milliseconds())
	if since > drainLimit && isInTouch {
		l.late = append(l.late, fmt.Sprintf("request %s reaches worker %s from %s %d ms after the store accepted that it leaves", id, w.id, sent.instance.name, since.Milliseconds()))
	}
}

func init() { cases["lapse"] = playLapse }

// playLapse checks that no instance in touch sends requests to a worker later than
// drainLimit after its entry was removed, while another instance, which reads the store
// for all, is frozen.
func playLapse(ctx context.Context, s *site) ([]string, error) {
	l, current, err := s.newRegistry(lapseLoad)
	if err != nil {
		return nil, err
	}
	l.clients.clump = lapseClump
	if err := s.start(ctx, lapseInstances); err != nil {
		return nil, err
	}
	playing, stop := context.WithCancel(ctx)
	defer stop()
	var group sync.WaitGroup
	group.Go(func() { s.balance(playing) })
	group.Go(func() { l.clients.run(playing) })
	pause(playing, settleTime)
	for n := range freezes {
		began := time.Now()
		frozen := s.instances[n%len(s.instances)]
		if isTroubled() {
			l.mu.Lock()
			l.frozen[frozen] = began.Add(freezeTime)
			l.mu.Unlock()
			frozen.signal(syscall.SIGSTOP)
			s.record.write("%s is frozen", frozen.name)
		}
		for _, at := range leaveTimes {
			pause(playing, time.Until(began.Add(at)))
			l.leave(current[0], (*worker).unlist)
			current = current[1:]
		}
		pause(playing, time.Until(began.Add(freezeTime)))
		if isTroubled() {
			frozen.signal(syscall.SIGCONT)
			s.record.write("%s runs again", frozen.name)
		}
		pause(playing, time.Until(began.Add(replaceTime)))
		for range leaveTimes {
			next, err := l.add(s)
			if err != nil {
				return nil, err
			}
			current = append(current, next)
		}
		pause(playing, time.Until(began.Add(freezeInterval)))
	}
	stop()
	group.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.late, ctx.Err()
}

// leave makes a worker leave by a function that returns when the store has accepted it.
// The worker ends lingerTime later.
func (l *leaving) leave(w *worker, say func(w *worker) time.Time) {
	at := say(w)
	l.mu.Lock()
	l.leftAt[w.id] = at
	l.mu.Unlock()
	w.site.record.write("%s leaves", w.id)
	time.AfterFunc(lingerTime, func() {
		w.unlist()
		w.close()
	})
}

func (l *leaving) handler(w *worker) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Attempt-Id")
		if id == "" {
			rw.Header().Set("Instance-Id", w.id)
			return
		}
		l.arrive(w, id)
		w.site.record.count("runs")
		time.Sleep(time.Duration(float64(workTime) * math.Exp(workSpread*rand.NormFloat64()-workSpread*workSpread/2)))
		rw.Header().Set("Attempt-Id", id)
		rw.Header().Set("Response-Seal", "seal-of-"+w.id)
		rw.Header().Set("Server-Load", "1,0,6")
		fmt.Fprintf(rw, "order %s is filed", id)
	})
}
