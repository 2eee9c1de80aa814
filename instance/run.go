package instance

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/claim"
	"lycheecrank.example/event"
	"lycheecrank.example/frontend"
	"lycheecrank.example/intake"
)

// ErrDrainIncomplete is returned by Run if requests or connections of callers were
// still active at the end of the drain.
var ErrDrainIncomplete = errors.New("drain incomplete at shutdown")

// Run serves requests until the context ends, and then drains the instance: it
// announces that it is leaving, accepts new requests for the time that the load balancer
// needs to stop sending them, finishes the requests in flight, releases its ownerships
// and returns.
func (i *Instance) Run(ctx context.Context) error {
	callers, err := listen(ctx, i.Settings.Listen.Callers)
	if err != nil {
		return err
	}
	peers, err := listen(ctx, i.Settings.Listen.Peers)
	if err != nil {
		return errors.Join(err, callers.Close())
	}
	i.addresses = addresses{callers: callers.Addr().String(), peers: peers.Addr().String()}
	i.memberCommands.MarkReachable(i.selfMember(), time.Now())

	// The background tasks and the workers run until the end of the drain, beyond the
	// end of ctx.
	backgroundCtx, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	server, clients := i.httpServer(), i.frontend.Listen(callers, intake.Clients)
	var group errgroup.Group
	served := make(chan struct{})
	group.Go(func() error {
		defer close(served)
		return ignoreClosed(server.Serve(clients))
	})
	group.Go(func() error { return i.peerServer.Serve(backgroundCtx, i.frontend.Listen(peers, intake.Peers)) })
	i.startBackground(backgroundCtx, &group)
	group.Go(func() error { return i.workers.Run(backgroundCtx, backgroundCtx) })
	managerCtx, stopManager := context.WithCancel(backgroundCtx)
	defer stopManager()
	managerDone := i.startOwnershipManager(managerCtx)
	recorderCtx, stopRecorder := context.WithCancel(backgroundCtx)
	defer stopRecorder()
	recorderDone := i.startRecorder(recorderCtx)
	i.OnReady(i.addresses.callers, i.addresses.peers)
	i.Logger.Write(event.Started, Version, i.addresses.callers, i.addresses.peers)
	<-ctx.Done()
	drainErr := i.drain(context.WithoutCancel(ctx), server, clientListener{clients, served}, func() {
		stopManager()
		<-managerDone
	})
	stopRecorder()
	recorderErr := <-recorderDone
	stopBackground()
	awaitAnswers(server)
	i.peerClient.Close()
	return errors.Join(drainErr, recorderErr, group.Wait())
}

// closeInterval is how often an instance that shuts down closes idle connections.
const closeInterval = 5 * time.Millisecond

// answerTimeout bounds the time in which requests that are cancelled at the drain limit get
// their final answers.
const answerTimeout = time.Second

// awaitAnswers waits until a server that is shut down has written its answers.
func awaitAnswers(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	_ = server.Shutdown(ctx)
}

// startOwnershipManager runs the manager of ownerships until the context ends. The
// returned channel is closed when the manager has stopped.
func (i *Instance) startOwnershipManager(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		defer close(done)
		i.ownershipManager.Run(ctx)
		return nil
	})
	return done
}

// releaseTimeout bounds the last appends to the log. If they fail, other instances take
// the pools over after the owner timeout, and the claims stay without outcomes.
const releaseTimeout = 3 * time.Second

// releaseAndFlush releases the ownerships of this instance and appends the outcomes of
// its claims.
func (i *Instance) releaseAndFlush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	_ = i.ownershipManager.Release(ctx)
	_ = i.claimer.Flush(ctx)
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	return listener, eris.Wrap(err, "listen")
}

// clientListener is the listener for callers, and the end of the server's use of it.
type clientListener struct {
	net.Listener
	served <-chan struct{}
}

// closeIdle closes the listener for callers, and the connections that no caller uses, until
// none is left but those of HTTP/2. http.Server.Shutdown would also close those from which a
// request is being read, and drop requests that are read after it was called.
func (i *Instance) closeIdle(ctx context.Context, clients clientListener) {
	_ = frontend.CloseListener(ctx, clients.Listener)
	// Shutdown would close the listener once more and fail.
	select {
	case <-clients.served:
	case <-ctx.Done():
	}
	for i.frontend.CloseIdle(time.Now().Add(-frontend.HeadTimeout), frontend.HeadTimeout) > 0 || i.frontend.Serving() > 0 {
		if sleep(ctx, closeInterval); ctx.Err() != nil {
			return
		}
	}
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return eris.Wrap(err, "serve callers")
}

// startBackground starts the tasks that keep the tables up to date.
func (i *Instance) startBackground(ctx context.Context, group *errgroup.Group) {
	tasks := []func(context.Context) error{
		i.catalogueFollower().run, i.ownershipFollower().run, i.claimer.Run,
		i.runSnapshots, i.runInstanceList, i.runLoadReports, i.runLogProbe, i.gossip.Run,
		i.dispatchCommands.RunSweeps, i.intake.Run,
	}
	for n := range claim.StreamCount {
		tasks = append(tasks, i.claimFollower(n).run)
	}
	for _, t := range tasks {
		group.Go(func() error { return t(ctx) })
	}
}

// drain shuts the instance down after its requests have finished, within the drain
// limit. Ownerships are renewed until stopManager is called, so that the pools have an
// owner while this instance still dispatches steps.
func (i *Instance) drain(ctx context.Context, server *http.Server, clients clientListener, stopManager func()) error {
	i.isLeaving.Store(true)
	i.Logger.Write(event.Leaving, "signal")
	i.memberCommands.MarkLeaving(i.self.Instance, i.self.Incarnation)
	i.announce(ctx)
	sleep(ctx, i.Settings.Drain.BalancerLag)
	i.isRejecting.Store(true)
	ctx, cancel := context.WithTimeout(ctx, i.Settings.Drain.Limit)
	defer cancel()
	unfinished := i.requestCommands.AwaitIdle(ctx)
	i.dispatchCommands.Close()
	i.isHandingOver.Store(true)
	unfinished += i.dispatchCommands.AwaitIdle(ctx)
	stopManager()
	i.releaseAndFlush(ctx)
	i.closeIdle(ctx, clients)
	err := server.Shutdown(ctx)
	i.Logger.Write(event.Stopped, unfinished)
	if unfinished > 0 || err != nil {
		return eris.Wrapf(ErrDrainIncomplete, "requests or steps unfinished: %d (if 0, the server for callers did not shut down cleanly)", unfinished)
	}
	return nil
}
