package frontend

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lycheecrank.example/intake"
)

// acceptInterval is how often a listener that is to be closed is checked for connections
// that wait to be accepted.
const acceptInterval = time.Millisecond

type listener struct {
	net.Listener
	frontend *Frontend
	class    intake.Class
}

// Listen returns a listener whose connections are counted in a class.
func (f *Frontend) Listen(l net.Listener, class intake.Class) net.Listener {
	return &listener{Listener: l, frontend: f, class: class}
}

// Accept returns the next connection that the account admits; it closes others.
func (l *listener) Accept() (net.Conn, error) {
	for {
		n, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := n.(*net.TCPConn)
		if !ok {
			return n, nil
		}
		raw, err := tcp.SyscallConn()
		if err != nil {
			_ = n.Close()
			continue
		}
		c := &conn{TCPConn: tcp, raw: raw, account: l.frontend.account, openedAt: time.Now()}
		if l.class == intake.Clients {
			c.serving = &l.frontend.serving
		}
		control := intake.Control{Interrupt: c.interrupt, ClaimIdle: c.claimIdle, ClaimStalled: c.claimStalled, CloseIdle: c.closeIdle}
		if c.Connection, ok = c.account.Connect(l.class, n.RemoteAddr().String(), control, c.openedAt); ok {
			if l.class != intake.Peers {
				c.head = &headMeter{connection: c.Connection}
			}
			return c, nil
		}
		_ = n.Close()
	}
}

// CloseListener closes a listener of Listen once all connections that clients have opened
// are accepted, or when the context ends. A close resets the others, of which clients may
// have sent requests.
func CloseListener(ctx context.Context, l net.Listener) error {
	ticker := time.NewTicker(acceptInterval)
	defer ticker.Stop()
	for hasUnaccepted(l) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return l.Close()
		}
	}
	return l.Close()
}

// hasUnaccepted reports whether connections wait to be accepted.
func hasUnaccepted(l net.Listener) bool {
	if counted, ok := l.(*listener); ok {
		l = counted.Listener
	}
	socket, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		for {
			n, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
			if !errors.Is(err, unix.EINTR) {
				return
			}
		}
	})
	return err == nil && n > 0
}
