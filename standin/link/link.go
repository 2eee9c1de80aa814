// Package link has a TCP link on loopback between a process and what it calls, which
// tests cut, slow down, silence in one or both directions, and reset.
package link

import (
	"context"
	"io"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheecrank.example/lock"
)

// State is how a link treats its connections. It is an immutable value; the zero
// value passes everything on.
type State struct {
	// IsCut breaks all connections and takes no new ones.
	IsCut bool
	// IsSilent passes nothing on; connections stay open.
	IsSilent bool
	// IsDeaf passes nothing on to the target, IsMute nothing from it.
	IsDeaf bool
	IsMute bool
	// Delay holds back what is read each time.
	Delay time.Duration
}

// direction is one of the two ways through a link.
type direction int

const (
	toTarget direction = iota
	fromTarget
)

// isHeld reports whether nothing passes in a direction.
func (s State) isHeld(d direction) bool {
	return s.IsSilent || s.IsDeaf && d == toTarget || s.IsMute && d == fromTarget
}

// Link is a link. Concurrent calls are safe.
type Link struct {
	target   string
	listener net.Listener
	group    errgroup.Group
	stop     context.CancelFunc

	mu    *lock.Ranked
	state State
	// changed is closed at each change of the state.
	changed     chan struct{}
	connections map[net.Conn]bool
}

// New returns a link to an address (IP:port) that listens on loopback until it is
// closed or the context ends.
func New(ctx context.Context, target string) (*Link, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	l := &Link{
		target: target, listener: listener, stop: stop, mu: lock.New(lock.RankCounter+2, "link"),
		changed: make(chan struct{}), connections: map[net.Conn]bool{},
	}
	l.group.Go(func() error { return l.accept(ctx) })
	return l, nil
}

// Address returns the IP and port at which the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Set changes the state.
func (l *Link) Set(state State) {
	l.mu.Lock()
	l.state = state
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
	if state.IsCut {
		l.breakAll(false)
	}
}

// Reset resets the connections that are open; new ones pass.
func (l *Link) Reset() { l.breakAll(true) }

// Close ends the link with its connections.
func (l *Link) Close() {
	l.stop()
	_ = l.listener.Close()
	l.breakAll(false)
	_ = l.group.Wait()
}

func (l *Link) breakAll(isReset bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.connections {
		if t, ok := c.(*net.TCPConn); ok && isReset {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(l.connections)
}

func (l *Link) accept(ctx context.Context) error {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return nil
		}
		l.group.Go(func() error {
			l.serve(ctx, c)
			return nil
		})
	}
}

// serve connects one connection with the target.
func (l *Link) serve(ctx context.Context, near net.Conn) {
	defer func() { _ = near.Close() }()
	if !l.pass(ctx, toTarget) {
		return
	}
	var dialer net.Dialer
	far, err := dialer.DialContext(ctx, "tcp", l.target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	if !l.add(ctx, near, far) {
		return
	}
	var group errgroup.Group
	for _, way := range []struct {
		from, to  net.Conn
		direction direction
	}{{near, far, toTarget}, {far, near, fromTarget}} {
		group.Go(func() error {
			l.copy(ctx, way.from, way.to, way.direction)
			// The other direction ends as well.
			_, _ = way.from.Close(), way.to.Close()
			return nil
		})
	}
	_ = group.Wait()
	l.remove(near, far)
}

func (l *Link) add(ctx context.Context, connections ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state.IsCut || ctx.Err() != nil {
		return false
	}
	for _, c := range connections {
		l.connections[c] = true
	}
	return true
}

func (l *Link) remove(connections ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range connections {
		delete(l.connections, c)
	}
}

func (l *Link) copy(ctx context.Context, from io.Reader, to io.Writer, d direction) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && l.pass(ctx, d) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil || ctx.Err() != nil {
			return
		}
	}
}

// pass waits until bytes may pass and reports whether they may at all.
func (l *Link) pass(ctx context.Context, d direction) bool {
	for {
		l.mu.Lock()
		state, changed := l.state, l.changed
		l.mu.Unlock()
		if state.IsCut {
			return false
		}
		var due <-chan time.Time
		if !state.isHeld(d) {
			if state.Delay == 0 {
				return true
			}
			due = time.After(state.Delay)
		}
		select {
		case <-due:
			return true
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
