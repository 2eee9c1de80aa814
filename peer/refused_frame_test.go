package peer_test

import (
	"net"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"lycheecrank.example/counter"
)

// closeObserver is a connection that calls a function before it is closed.
type closeObserver struct {
	net.Conn
	onClose func()
}

func (c closeObserver) Close() error {
	c.onClose()
	return c.Conn.Close()
}

// closeObservingListener wraps the accepted connections in a closeObserver.
type closeObservingListener struct {
	net.Listener
	onClose func()
}

func (l closeObservingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return closeObserver{c, l.onClose}, nil
}

// Guards against a rejected frame that is counted only after its connection is closed,
// so that an operator who sees the close doesn't find its reason.
func TestRefusedFrameIsCountedBeforeClose(t *testing.T) {
	for _, c := range []struct {
		counter      string
		hasHandshake bool
		frame        []byte
	}{
		{"frameTooLarge", false, []byte{0xff, 0xff, 0xff, 0xff, 0}},
		{"messageMalformed", false, []byte{0, 0, 0, 4, 0xc1, 0xc1, 0xc1, 0xc1}},
		{"frameTooLarge", true, []byte{0xff, 0xff, 0xff, 0xff, 0}},
		{"messageMalformed", true, []byte{0, 0, 0, 4, 0xc1, 0xc1, 0xc1, 0xc1}},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			counters := &counter.Set{}
			atClose := int64(-1)
			onClose := func() {
				if atClose < 0 {
					atClose = counters.Values()[c.counter]
				}
			}
			s := newServer()
			s.Counters = counters
			l := newPipeListener()
			client := newClient()
			client.Dial = l.dial
			defer start(t, s, closeObservingListener{l, onClose}, client)()
			n, err := l.dial(t.Context(), "")
			is.NoErr(err)
			r := newRawPeer(t, n)
			if c.hasHandshake {
				r.handshake()
			}
			r.writeBytes(c.frame)
			r.drain()
			synctest.Wait()
			_ = n.Close()
			is.Equal(atClose, int64(1))
			is.Equal(counters.Values()[c.counter], int64(1))
		})
	}
}
