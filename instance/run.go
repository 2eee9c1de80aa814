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
)

// ErrRequestsCutOff is returned by Run if requests were still in flight at the
// end of the drain.
var ErrRequestsCutOff = errors.New("requests cut off at shutdown")

// Run serves until the context ends, then drains: it says that it is leaving,
// takes new requests until the balancer has noticed, finishes those in flight,
// releases what it owns and returns.
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
	i.memberCommands.MarkReachable(i.asMember(), time.Now())

	// The background work and the workers outlive ctx until the drain is over.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	server := i.httpServer()
	var group errgroup.Group
	group.Go(func() error { return ignoreClosed(server.Serve(callers)) })
	group.Go(func() error { return i.peerServer.Serve(work, peers) })
	i.background(work, &group)
	group.Go(func() error { return i.workers.Run(work, work) })
	keeping, stopKeeper := context.WithCancel(work)
	defer stopKeeper()
	kept := i.startKeeper(keeping)
	records, flush := context.WithCancel(work)
	defer flush()
	recorded := i.startRecorder(records)
	i.Ready(i.addresses.callers, i.addresses.peers)
	i.Logger.Write(event.Started, Version, i.addresses.callers, i.addresses.peers)
	<-ctx.Done()
	drained := i.drain(context.WithoutCancel(ctx), server, func() {
		stopKeeper()
		<-kept
	})
	flush()
	lost := <-recorded
	stop()
	i.peerClient.Close()
	return errors.Join(drained, lost, group.Wait())
}

// startKeeper runs the keeper of the terms until the context ends. The channel
// is closed after that.
func (i *Instance) startKeeper(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		defer close(done)
		i.keeper.Run(ctx)
		return nil
	})
	return done
}

// settleLimit bounds the last appends to the log. The terms end by silence and
// claims stay as they are if the log can't be told.
const settleLimit = 3 * time.Second

// settle releases the terms of this instance and appends the outcomes of its
// claims.
func (i *Instance) settle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	_ = i.keeper.Release(ctx)
	_ = i.claimer.Flush(ctx)
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", address)
	return l, eris.Wrap(err, "listen")
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "serve callers")
}

// background starts what keeps the tables up to date.
func (i *Instance) background(ctx context.Context, group *errgroup.Group) {
	tasks := []func(context.Context) error{
		i.catalogueFollower().run, i.ownershipFollower().run, i.claimer.Run,
		i.runSnapshots, i.runList, i.runLoad, i.runProbe, i.gossip.Run,
		i.dispatchCommands.RunSweeps,
	}
	for n := range claim.StreamCount {
		tasks = append(tasks, i.claimFollower(n).run)
	}
	for _, t := range tasks {
		group.Go(func() error { return t(ctx) })
	}
}

// drain stops the instance without cutting off a request.
// Terms are renewed until stopKeeper is called, so that the pools have an owner
// as long as this instance dispatches.
func (i *Instance) drain(ctx context.Context, server *http.Server, stopKeeper func()) error {
	i.leaving.Store(true)
	i.Logger.Write(event.Leaving, "signal")
	i.memberCommands.MarkLeaving(i.self.Instance, i.self.Incarnation)
	i.announce(ctx)
	sleep(ctx, i.Settings.Drain.BalancerLag)
	i.refusing.Store(true)
	ctx, cancel := context.WithTimeout(ctx, i.Settings.Drain.Limit)
	defer cancel()
	left := i.requestCommands.AwaitIdle(ctx)
	i.dispatchCommands.Close()
	i.handingOver.Store(true)
	left += i.dispatchCommands.AwaitIdle(ctx)
	stopKeeper()
	i.settle(ctx)
	err := server.Shutdown(ctx)
	i.Logger.Write(event.Stopped, left)
	if left > 0 || err != nil {
		return eris.Wrapf(ErrRequestsCutOff, "%d left", left)
	}
	return nil
}
