package peer_test

import (
	"bytes"
	"context"
	"net"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"lycheecrank.example/peer"
)

// pausedAddress is the environment variable with the address that the child process of
// TestPauseIsNotSilenceOfPeer asks.
const pausedAddress = "LYCHEECRANK_TEST_PEER"

// Guards against a process that was paused for longer than the peer timeout and takes the
// pause for silence of the peer, although the answer is unread in its socket.
func TestPauseIsNotSilenceOfPeer(t *testing.T) {
	const pause = time.Second
	is := is.New(t)
	if address := os.Getenv(pausedAddress); address != "" {
		c := newClient()
		defer c.Close()
		c.PeerTimeout = pause / 2
		_, err := c.Ask(t.Context(), address, "heartbeat", nil)
		is.NoErr(err)
		return
	}
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	child := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestPauseIsNotSilenceOfPeer$")
	child.Env = append(os.Environ(), pausedAddress+"="+l.Addr().String())
	var output bytes.Buffer
	child.Stdout, child.Stderr = &output, &output
	started := make(chan *os.Process, 1)
	s := newServer()
	s.Ask = func(context.Context, peer.Hello, string, []byte) ([]byte, error) {
		process := <-started
		err := process.Signal(unix.SIGSTOP)
		// A process that the signal hasn't reached yet would still read the answer.
		_ = unix.Waitid(unix.P_PID, process.Pid, nil, unix.WSTOPPED, nil)
		time.AfterFunc(pause, func() { _ = process.Signal(unix.SIGCONT) })
		return nil, err
	}
	defer start(t, s, l, newClient())()
	is.NoErr(child.Start())
	started <- child.Process
	if err := child.Wait(); err != nil {
		t.Fatalf("%s: %s", err, output.String())
	}
}
