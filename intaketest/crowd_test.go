package intaketest

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheecrank.example/peer"
)

const (
	// maxClients is the number of clients of the largest crowd.
	maxClients = 600
	// bodyBytes is the documented limit of a body.
	bodyBytes = 4 << 20
	// missingBytes is how many bytes before its end a body stops.
	missingBytes = 10
	// answerBytes is the length of a long answer.
	answerBytes = 8 << 20
	// crowdTime is how long a crowd sends before the process is checked.
	crowdTime = 3 * time.Second
)

// serveLong answers /long with a long body and all other requests at once.
func serveLong(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Response-Seal", "seal")
	if !strings.HasPrefix(r.URL.Path, "/long") {
		return
	}
	block := make([]byte, 64<<10)
	for range answerBytes / len(block) {
		if _, err := w.Write(block); err != nil {
			return
		}
	}
}

// dial connects as a client. Clients that read slowly have a small receive buffer, so that
// the rest of an answer stays at the process.
func (d *daemon) dial(address string, hasSmallBuffer bool) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second}
	if hasSmallBuffer {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			var failure error
			err := raw.Control(func(fd uintptr) {
				failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1<<10)
			})
			if err != nil {
				return err
			}
			return failure
		}
	}
	return dialer.Dial("tcp", address)
}

// head returns the request line and the headers of a client.
func (d *daemon) head(path string, framing string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\n", path)
	for name, value := range d.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "%s\r\n\r\n", framing)
	return b.Bytes()
}

// crowd runs clients that each send one request and stay connected, and checks the process
// while they are. A client that is refused or closed counts as done.
func (d *daemon) crowd(clients int, hasSmallBuffer bool, send func(w io.Writer) error) {
	d.t.Helper()
	d.crowdAt(d.address, clients, hasSmallBuffer, send)
}

// crowdAt is crowd at an address of the process.
func (d *daemon) crowdAt(address string, clients int, hasSmallBuffer bool, send func(w io.Writer) error) {
	d.t.Helper()
	limit := time.Now().Add(crowdTime)
	conns := make(chan net.Conn, clients)
	var group errgroup.Group
	for range clients {
		group.Go(func() error {
			conn, err := d.dial(address, hasSmallBuffer)
			if err != nil {
				return nil
			}
			conns <- conn
			_ = conn.SetWriteDeadline(limit)
			_ = send(conn)
			return nil
		})
	}
	_ = group.Wait()
	pause(time.Until(limit))
	close(conns)
	defer func() {
		for conn := range conns {
			_ = conn.Close()
		}
	}()
	d.check()
}

// inFrontEnds runs a test against both front ends, one after the other.
func inFrontEnds(t *testing.T, play func(d *daemon)) {
	t.Run("entry", func(t *testing.T) { play(startEntry(t)) })
	t.Run("serve", func(t *testing.T) { play(startServe(t)) })
}

// Guards against a process that runs out of memory because many clients send large bodies
// at once that stop just short of their end.
func TestWholeBodies(t *testing.T) {
	inFrontEnds(t, func(d *daemon) {
		request := append(d.head(d.path, fmt.Sprintf("Content-Length: %d", bodyBytes)), make([]byte, bodyBytes-missingBytes)...)
		d.crowd(120, false, func(w io.Writer) error {
			_, err := w.Write(request)
			return err
		})
	})
}

// Guards against a process that runs out of memory because many clients send large bodies
// piece by piece that stop just short of their end.
func TestBodiesInPieces(t *testing.T) {
	const pieces = 64
	inFrontEnds(t, func(d *daemon) {
		head, piece := d.head(d.path, fmt.Sprintf("Content-Length: %d", bodyBytes)), make([]byte, bodyBytes/pieces)
		d.crowd(120, false, func(w io.Writer) error {
			if _, err := w.Write(head); err != nil {
				return err
			}
			for n := range pieces {
				if n == pieces-1 {
					piece = piece[:len(piece)-missingBytes]
				}
				if _, err := w.Write(piece); err != nil {
					return err
				}
				pause(20 * time.Millisecond)
			}
			return nil
		})
	})
}

// Guards against a process that runs out of memory because many clients read long answers
// slowly.
func TestSlowReaders(t *testing.T) {
	d := startEntry(t)
	request := d.head("/long", "Content-Length: 0")
	d.crowd(maxClients, true, func(w io.Writer) error {
		_, err := w.Write(request)
		return err
	})
}

// Guards against a process that runs out of memory because many clients send bodies in
// large chunks that stop just short of their end.
func TestLargeChunks(t *testing.T) {
	inFrontEnds(t, func(d *daemon) { d.crowdOfChunks(120, 256<<10) })
}

// Guards against a process that runs out of memory, or of processor time, because many
// clients send bodies in very small chunks that stop just short of their end.
func TestSmallChunks(t *testing.T) {
	inFrontEnds(t, func(d *daemon) { d.crowdOfChunks(120, 8) })
}

// crowdOfChunks runs clients that send a body in chunks of a size without the last chunks.
func (d *daemon) crowdOfChunks(clients, size int) {
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", size, make([]byte, size))
	request := append(d.head(d.path, "Transfer-Encoding: chunked"), bytes.Repeat(chunk, bodyBytes/size-1)...)
	d.crowd(clients, false, func(w io.Writer) error {
		_, err := w.Write(request)
		return err
	})
}

// largeHead returns a request line and headers of the largest legal size, with as many
// headers as fit in.
func (d *daemon) largeHead() []byte {
	const headBytes, reservedBytes = 16 << 10, 100
	var b bytes.Buffer
	b.Write(bytes.TrimSuffix(d.head(d.path, "Transfer-Encoding: chunked"), []byte("\r\n")))
	for n := 0; b.Len() < headBytes-reservedBytes; n++ {
		fmt.Fprintf(&b, "%s:\r\n", strconv.FormatInt(int64(n), 36))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Guards against a process that runs out of memory because many clients send heads of legal
// size whose headers take many times their size once they are parsed, with bodies that stop
// short of their end.
func TestManyHeaders(t *testing.T) {
	inFrontEnds(t, func(d *daemon) {
		request := append(d.largeHead(), "8\r\nin part\r\n"...)
		d.crowd(maxClients, false, func(w io.Writer) error {
			_, err := w.Write(request)
			return err
		})
	})
}

// Guards against a process that runs out of memory because many clients send such heads
// that stop short of their end.
func TestManyHeadersWithoutEnd(t *testing.T) {
	inFrontEnds(t, func(d *daemon) {
		head := d.largeHead()
		d.crowd(maxClients, false, func(w io.Writer) error {
			_, err := w.Write(head[:len(head)-missingBytes])
			return err
		})
	})
}

// Guards against a process that runs out of memory because many clients that are no
// instances send large messages to the port for instances, which stop short of their end.
func TestMessagesAtPeerPort(t *testing.T) {
	inFrontEnds(t, func(d *daemon) {
		message := append(binary.BigEndian.AppendUint32(nil, peer.MaxFrame), make([]byte, peer.MaxFrame-missingBytes)...)
		d.crowdAt(d.peers, 120, false, func(w io.Writer) error {
			_, err := w.Write(message)
			return err
		})
	})
}

// Guards against limits that refuse the largest body on an idle machine of the smallest
// size.
func TestLargestBody(t *testing.T) {
	inFrontEnds(t, func(d *daemon) {
		if d.path != "/registry" {
			d.header["Content-Type"] = "application/json"
			d.path = strings.Replace(d.path, "Run", "Cancel", 1)
		}
		body := strings.Repeat(" ", bodyBytes-2) + "{}"
		for n := range 5 {
			if status := d.post(d.path, strings.NewReader(body)); status != http.StatusOK {
				d.t.Errorf("request %d with the largest body got status %d; the log ends with\n%s", n, status, d.logTail())
			}
		}
		d.check()
	})
}

// Guards against a process that runs out of descriptors, or locks ordinary clients out,
// because many clients connect and send nothing, or stop in the middle of a small body.
func TestManyConnections(t *testing.T) {
	inFrontEnds(t, func(d *daemon) {
		request := append(d.head(d.path, "Content-Length: 1000"), make([]byte, 100)...)
		var number atomic.Int32
		d.crowd(4*maxClients, false, func(w io.Writer) error {
			if number.Add(1)%2 == 0 {
				return nil
			}
			_, err := w.Write(request)
			return err
		})
	})
}
