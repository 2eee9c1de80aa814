package scenario

import (
	"context"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/lock"
)

// linkState is how a link treats its connections. It is an immutable value.
type linkState struct {
	cut   bool
	hang  bool
	delay time.Duration
}

// relay is a TCP link that can be cut, slowed down and made to hang.
type relay struct {
	target   string
	listener net.Listener
	group    errgroup.Group

	mu    *lock.Ranked
	state linkState
	// changed is closed at each change of the state.
	changed     chan struct{}
	connections map[net.Conn]bool
}

// link NAME TARGET starts a link to an address or to a process.
func link(s *scene, args []string) (string, error) {
	if len(args) != 2 {
		return "", eris.New("usage: link NAME TARGET")
	}
	target, err := s.address(args[1])
	if err != nil {
		return "", err
	}
	var config net.ListenConfig
	listener, err := config.Listen(s.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	r := &relay{
		target: target, listener: listener, mu: lock.New(rankPart, "link"),
		changed: make(chan struct{}), connections: map[net.Conn]bool{},
	}
	r.group.Go(func() error { return r.accept(s.ctx) })
	s.links[args[0]] = r
	s.setAddress(args[0], listener.Addr().String())
	return "", nil
}

func cut(s *scene, args []string) (string, error) {
	return "", s.setLink(args, linkState{cut: true})
}

func heal(s *scene, args []string) (string, error) {
	return "", s.setLink(args, linkState{})
}

func hang(s *scene, args []string) (string, error) {
	return "", s.setLink(args, linkState{hang: true})
}

func slow(s *scene, args []string) (string, error) {
	if len(args) != 2 {
		return "", eris.New("usage: slow NAME MILLISECONDS")
	}
	ms, err := strconv.Atoi(args[1])
	if err != nil {
		return "", err
	}
	return "", s.setLink(args[:1], linkState{delay: time.Duration(ms) * time.Millisecond})
}

func (s *scene) setLink(args []string, state linkState) error {
	if len(args) != 1 || s.links[args[0]] == nil {
		return eris.Errorf("one name of a link is needed, got %v", args)
	}
	s.links[args[0]].set(state)
	return nil
}

// set changes the state. A cut breaks all connections.
func (r *relay) set(state linkState) {
	r.mu.Lock()
	r.state = state
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	if state.cut {
		r.breakAll()
	}
}

func (r *relay) breakAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		_ = c.Close()
	}
	clear(r.connections)
}

// close ends the link. The scene's context has ended before.
func (r *relay) close() {
	_ = r.listener.Close()
	r.breakAll()
	_ = r.group.Wait()
}

func (r *relay) accept(ctx context.Context) error {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return nil
		}
		r.group.Go(func() error {
			r.serve(ctx, c)
			return nil
		})
	}
}

// serve connects one connection with the target.
func (r *relay) serve(ctx context.Context, near net.Conn) {
	defer func() { _ = near.Close() }()
	if !r.pass(ctx) {
		return
	}
	var dialer net.Dialer
	far, err := dialer.DialContext(ctx, "tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	if !r.add(ctx, near, far) {
		return
	}
	var group errgroup.Group
	for _, pair := range [][2]net.Conn{{near, far}, {far, near}} {
		group.Go(func() error {
			r.copy(ctx, pair[0], pair[1])
			// The other direction ends as well.
			_, _ = pair[0].Close(), pair[1].Close()
			return nil
		})
	}
	_ = group.Wait()
	r.remove(near, far)
}

func (r *relay) add(ctx context.Context, connections ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state.cut || ctx.Err() != nil {
		return false
	}
	for _, c := range connections {
		r.connections[c] = true
	}
	return true
}

func (r *relay) remove(connections ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range connections {
		delete(r.connections, c)
	}
}

func (r *relay) copy(ctx context.Context, from io.Reader, to io.Writer) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && r.pass(ctx) {
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
func (r *relay) pass(ctx context.Context) bool {
	for {
		r.mu.Lock()
		state, changed := r.state, r.changed
		r.mu.Unlock()
		if state.cut {
			return false
		}
		var due <-chan time.Time
		if !state.hang {
			if state.delay == 0 {
				return true
			}
			due = time.After(state.delay)
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
