// Package standin has small stand-ins for the platform and for backend servers,
// with fault controls. They speak the published protocols and run in processes
// of their own or inside tests.
package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/standin/fault"
	"lycheecrank.example/standin/work"
)

// Standin is one stand-in. Create it with NewPlatform, NewEngine, NewPool or
// NewService and set the exported fields before Run.
type Standin struct {
	// Handler serves the services of the stand-in and ControlService.
	Handler http.Handler
	// Announce tells the platform's list that the stand-in lives; nil if it
	// belongs to no platform.
	Announce func(ctx context.Context, address string, leaving bool) error
	// AnnounceEvery is the time between announcements; 0 means 2 s.
	AnnounceEvery time.Duration
	// DrainLimit bounds how long running calls may take to finish after the end
	// of Run's context; 0 means 30 s.
	DrainLimit time.Duration
	// SetFault replaces the fault; the zero fault ends it.
	SetFault func(f fault.Fault)
	// Counts returns what the stand-in has counted.
	Counts func() map[string]int64
	// Totals returns what a plain service has filed, whatever its load; nil for other
	// stand-ins.
	Totals func() []work.Total
	// Stop refuses new work and ends the streams without an end of their own.
	// Run calls it when its context ends.
	Stop func()

	faults *fault.Queries
}

// Run listens on an IP address and port, calls ready with the address once it
// listens, and serves until the context ends. Then it announces that it leaves,
// refuses new work and finishes what runs.
func (s *Standin) Run(ctx context.Context, listen string, ready func(address string)) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", listen)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	address := listener.Addr().String()
	server := newHTTPServer(s.Handler)
	ready(address)
	group, running := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve")
		}
		return nil
	})
	group.Go(func() error {
		// The announcement of leaving comes after all others, which would undo it.
		s.announceUntil(running, address)
		return s.drain(context.WithoutCancel(ctx), server, address)
	})
	return group.Wait()
}

// newHTTPServer returns a server for HTTP/1.1 and for HTTP/2 without TLS.
func newHTTPServer(handler http.Handler) *http.Server {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: 5 * time.Second,
		Protocols:         new(http.Protocols),
		// Instances share one connection for all their calls and tails, which are
		// more than the default of 250 while a fault freezes them.
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: 10_000},
	}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	return server
}

func (s *Standin) drain(ctx context.Context, server *http.Server, address string) error {
	s.Stop()
	if s.Announce != nil {
		const limit = time.Second
		leave, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		// The entry of the list ends by its TTL if the platform can't be told.
		_ = s.Announce(leave, address, true)
	}
	limit := s.DrainLimit
	if limit == 0 {
		limit = 30 * time.Second
	}
	finish, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := server.Shutdown(finish); err != nil {
		_ = server.Close()
		return eris.Wrap(err, "finish running calls")
	}
	return nil
}

// announceUntil announces the stand-in regularly and at each change of the
// fault, until the context ends.
func (s *Standin) announceUntil(ctx context.Context, address string) {
	if s.Announce == nil {
		<-ctx.Done()
		return
	}
	every := s.AnnounceEvery
	if every == 0 {
		every = 2 * time.Second
	}
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		current := s.faults.Current()
		if !current.Silences() {
			limited, cancel := context.WithTimeout(ctx, every)
			// The next announcement makes up for one that fails.
			_ = s.Announce(limited, address, current.Leaving)
			cancel()
		}
		select {
		case <-ticker.C:
		case <-current.Ended:
		case <-ctx.Done():
			return
		}
	}
}
