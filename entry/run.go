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
	"lycheecrank.example/frontend"
	"lycheecrank.example/intake"
	"lycheecrank.example/platform"
)

const (
	// exitTimeout bounds the wait for the tasks of the instance to end, and that for its
	// log to be written. On a slow machine, processes were killed at the end of the grace
	// period while a task still waited for a reply.
	exitTimeout = 300 * time.Millisecond
	// minLogTime is the least time for the last lines of the log, which tell why an exit was
	// late.
	minLogTime = 20 * time.Millisecond
	// idleTimeout is how long an idle client connection stays open. It is longer than
	// any idle time that operators may set.
	idleTimeout = 2 * time.Minute
)

// Run serves until the context ends, waits for the requests in flight to end, and
// returns.
func (i *Instance) Run(ctx context.Context) error {
	if err := i.startHedging(); err != nil {
		return err
	}
	listeners, err := i.listen(ctx)
	if err != nil {
		return err
	}
	i.lastBreak()
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	upkeep, stopUpkeep := context.WithCancel(work)
	defer stopUpkeep()
	attempts, stopAttempts := context.WithCancelCause(work)
	defer stopAttempts(nil)
	front, ready := i.frontServer(attempts), i.readyServer()
	served := make(chan struct{})
	group.Go(func() error {
		defer close(served)
		return serve(front, listeners.front)
	})
	group.Go(func() error { return serve(ready, listeners.ready) })
	group.Go(func() error { return i.server.Serve(work, listeners.peers) })
	i.startMetrics(work, &group)
	for _, task := range []func(context.Context) error{
		i.runHeartbeats, i.runFetches, i.runOperators, i.runServers, i.runRegistration, i.runReload, i.runServerSync, i.runDepthLog,
		i.runRollouts, i.runJudging, i.runQuarantineReads, i.attemptLog.run, i.configurationLog.run,
	} {
		group.Go(func() error { return task(upkeep) })
	}
	for _, task := range []func(context.Context) error{i.coordinator.Run, i.notices.run, i.decisions.run, i.intake.Run, i.runQuarantineWrites, i.crashChecks.run} {
		group.Go(func() error { return task(work) })
	}
	i.Logger.Write(event.EntryStarted, Version, i.Settings.ClientAddress, i.Settings.PeerAddress, i.Settings.DataCentre)
	<-ctx.Done()
	schedule := i.drain(front, clientListener{listeners.front, served}, stopUpkeep, stopAttempts)
	_ = ready.Close()
	stop()
	var closing, logging errgroup.Group
	closing.Go(func() error {
		i.client.Close()
		return group.Wait()
	})
	err = waitWithTimeout(&closing, min(exitTimeout, time.Until(schedule.ExitBy)))
	logging.Go(i.Logger.Close)
	return errors.Join(err, waitWithTimeout(&logging, max(minLogTime, min(exitTimeout, time.Until(schedule.ExitBy)))))
}

// waitWithTimeout waits for a group to end and returns its error. If the group is still
// running after the timeout, it returns nil.
func waitWithTimeout(group *errgroup.Group, timeout time.Duration) error {
	ended := make(chan error, 1)
	var waiting errgroup.Group
	waiting.Go(func() error {
		ended <- group.Wait()
		return nil
	})
	timer := time.NewTimer(timeout)
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
	for _, target := range []struct {
		listener *net.Listener
		address  string
		class    intake.Class
	}{
		{&l.front, i.Settings.ClientAddress, intake.Clients},
		{&l.ready, i.Settings.ReadinessAddress, intake.Operators},
		{&l.peers, i.Settings.PeerAddress, intake.Peers},
	} {
		listener, err := listen(ctx, target.address)
		if err != nil {
			return l, eris.Wrapf(err, "listen at %s", target.address)
		}
		*target.listener = i.frontend.Listen(listener, target.class)
	}
	return l, nil
}

func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return eris.Wrap(err, "serve HTTP")
	}
	return nil
}

// frontServer serves clients. The contexts of their requests derive from attempts.
func (i *Instance) frontServer(attempts context.Context) *http.Server {
	return i.frontend.Attach(&http.Server{
		Handler: &platform.ClientHandler{
			Router: i.delivery, Backends: i.backendClient, Routes: i.routes.Queries(), IDs: i.ids,
			IsLeaving: i.isLeaving, OnPanic: i.reportPanic, OnResult: i.reportAttempt, Frontend: i.frontend, Attempts: i.attempts.Commands(),
		},
		BaseContext:       func(net.Listener) context.Context { return attempts },
		ConnState:         i.countConnections,
		ReadHeaderTimeout: frontend.HeadTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          discardLog(),
	})
}

// readyServer serves the readiness check: it responds with status 503 while the
// instance can't serve clients.
func (i *Instance) readyServer() *http.Server {
	return i.frontend.Attach(&http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if !i.isReady() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}),
		ReadHeaderTimeout: frontend.HeadTimeout,
		ErrorLog:          discardLog(),
	})
}

// startMetrics serves the counters. If it can't listen at the address, it logs the
// error and the instance runs without metrics.
func (i *Instance) startMetrics(ctx context.Context, group *errgroup.Group) {
	if i.MetricsAddress == "" {
		return
	}
	listener, err := listen(ctx, i.MetricsAddress)
	if err != nil {
		i.Logger.Write(event.MetricsUnavailable, i.MetricsAddress, err)
		return
	}
	server := i.frontend.Attach(&http.Server{Handler: i.frontend.Handler(expvar.Handler(), 0), ReadHeaderTimeout: frontend.HeadTimeout, ErrorLog: discardLog()})
	context.AfterFunc(ctx, func() { _ = server.Close() })
	group.Go(func() error { return serve(server, i.frontend.Listen(listener, intake.Operators)) })
}

func formatStatus(status int) string { return strconv.Itoa(status) }
