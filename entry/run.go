package entry

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/event"
	"lycheecrank.example/platform"
)

const (
	// refuseStreamsAfter is when a leaving instance sends new streams elsewhere,
	// since they might not end in its time.
	refuseStreamsAfter = 3500 * time.Millisecond
	// stayOpen is how long a leaving instance takes connections: the balancer asks
	// once a second and stops after two misses.
	stayOpen = 2800 * time.Millisecond
	// stopReserve is the part of the grace that is left for the end of the process.
	stopReserve = 400 * time.Millisecond
	// exitLimit bounds the wait for tasks that end: on a slow machine processes were
	// killed at the end of the grace while one of them still waited for an answer.
	exitLimit = 300 * time.Millisecond
	// defaultGrace is the grace if the settings name none.
	defaultGrace = 8 * time.Second
	// idleTimeout closes client connections that are not used any more. It is longer
	// than any idle time that operators allow.
	idleTimeout = 2 * time.Minute
	// headerTime bounds the reading of a request's headers.
	headerTime = 5 * time.Second
)

// Run serves until the context ends, then lets the requests in flight end and
// returns.
func (i *Instance) Run(ctx context.Context) error {
	listeners, err := i.listen(ctx)
	if err != nil {
		return err
	}
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	front, ready := i.frontServer(), i.readyServer()
	group.Go(func() error { return serve(front, listeners.front) })
	group.Go(func() error { return serve(ready, listeners.ready) })
	group.Go(func() error { return i.server.Serve(work, listeners.peers) })
	i.startMetrics(work, &group)
	for _, task := range []func(context.Context) error{
		i.runHeartbeats, i.runFetches, i.runOperators, i.runServers, i.runRegistration, i.runReload, i.runSync, i.runDepths,
		i.prepared.Run, i.notices.run, i.report.run, i.decisions.run,
	} {
		group.Go(func() error { return task(work) })
	}
	i.Logger.Write(event.EntryStarted, Version, i.Settings.Front, i.Settings.Peers, i.Settings.DataCentre)
	<-ctx.Done()
	i.drain(front)
	_ = ready.Close()
	stop()
	i.client.Close()
	return errors.Join(waitAtMost(&group, exitLimit), i.Logger.Close())
}

// waitAtMost waits for a group for a time.
func waitAtMost(group *errgroup.Group, limit time.Duration) error {
	ended := make(chan error, 1)
	var waiting errgroup.Group
	waiting.Go(func() error {
		ended <- group.Wait()
		return nil
	})
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case err := <-ended:
		return err
	case <-timer.C:
		return nil
	}
}

// Version is the version of the program.
const Version = "0.2.0"

type listeners struct{ front, ready, peers net.Listener }

func (i *Instance) listen(ctx context.Context) (listeners, error) {
	var l listeners
	var err error
	for _, target := range []struct {
		listener *net.Listener
		address  string
	}{{&l.front, i.Settings.Front}, {&l.ready, i.Settings.Ready}, {&l.peers, i.Settings.Peers}} {
		if *target.listener, err = listen(ctx, target.address); err != nil {
			return l, eris.Wrapf(err, "listen at %s", target.address)
		}
	}
	return l, nil
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "serve")
	}
	return nil
}

func (i *Instance) frontServer() *http.Server {
	return &http.Server{
		Handler: i.report.around(&platform.Front{
			Router: i.delivery, Workers: i.workers, Routes: i.routes.Queries(),
			IsLeaving: i.isLeaving, Report: i.reportAttempt,
		}),
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       idleTimeout,
		ErrorLog:          discardLog(),
	}
}

// readyServer answers whether the instance takes clients.
func (i *Instance) readyServer() *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if !i.isReady() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}),
		ReadHeaderTimeout: headerTime,
		ErrorLog:          discardLog(),
	}
}

// startMetrics serves the counters. An address that is taken is not fatal.
func (i *Instance) startMetrics(ctx context.Context, group *errgroup.Group) {
	if i.MetricsAddress == "" {
		return
	}
	l, err := listen(ctx, i.MetricsAddress)
	if err != nil {
		i.Logger.Write(event.MetricsUnavailable, i.MetricsAddress, err)
		return
	}
	s := &http.Server{Handler: expvar.Handler(), ReadHeaderTimeout: headerTime, ErrorLog: discardLog()}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	group.Go(func() error { return serve(s, l) })
}

// drain lets the requests in flight end. Requests that arrive meanwhile are
// served, with the advice to connect elsewhere.
func (i *Instance) drain(front *http.Server) {
	i.leavingAt.Store(time.Now().UnixNano())
	i.Logger.Write(event.Leaving, "signal")
	i.members.Commands().Leave()
	i.wakeHeartbeats()
	grace := time.Duration(i.grace.Load())
	if grace <= 0 {
		grace = defaultGrace
	}
	ctx, cancel := context.WithTimeout(context.Background(), grace-stopReserve)
	defer cancel()
	i.unregister(ctx)
	pause(ctx, stayOpen-i.leavingFor())
	err := front.Shutdown(ctx)
	left := int64(0)
	if err != nil {
		left = i.report.inFlight.Load()
		_ = front.Close()
	}
	i.Logger.Write(event.Stopped, left)
}

func statusText(status int) string { return strconv.Itoa(status) }
