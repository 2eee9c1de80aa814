package peer_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"lycheecrank.example/counter"
	"lycheecrank.example/event"
	"lycheecrank.example/peer"
)

// fields is a message as another implementation of the protocol would build it.
type fields map[string]any

// rawPeer is a peer that sends arbitrary messages and bytes.
type rawPeer struct {
	testing.TB
	net.Conn
	reader peer.FrameReader
}

func newRawPeer(t testing.TB, n net.Conn) *rawPeer {
	return &rawPeer{TB: t, Conn: n, reader: peer.FrameReader{Reader: n}}
}

func encoded(t testing.TB, m fields) []byte {
	t.Helper()
	data, err := msgpack.Marshal(map[string]any(m))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// framed prepends the length to the bytes.
func framed(data []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...)
}

// send writes a message. It ignores write errors, because the other side may
// close the connection: the tests check the errors that the other side reports.
func (r *rawPeer) send(m fields) {
	r.Helper()
	r.writeBytes(framed(encoded(r, m)))
}

func (r *rawPeer) writeBytes(data []byte) {
	_, _ = r.Write(data)
}

// next reads a message. It returns nil once the connection is closed.
func (r *rawPeer) next() fields {
	r.Helper()
	data, err := r.reader.Next()
	if err != nil {
		return nil
	}
	var m fields
	if err := msgpack.Unmarshal(data, &m); err != nil {
		r.Error(err)
	}
	return m
}

// handshake exchanges hellos.
func (r *rawPeer) handshake() {
	r.Helper()
	r.send(hello)
	if m := r.next(); m["type"] != "hello" {
		r.Errorf("received %v, expected hello", m)
	}
}

// accept exchanges hellos and reads the first message.
func (r *rawPeer) accept() fields {
	r.Helper()
	r.handshake()
	return r.next()
}

// answerPings answers pings until the connection is closed.
func (r *rawPeer) answerPings() {
	r.Helper()
	for m := r.next(); m != nil; m = r.next() {
		if m["type"] == "ping" {
			r.send(fields{"type": "pong"})
		}
	}
}

// drain reads until the connection is closed and answers nothing.
func (r *rawPeer) drain() {
	_, _ = io.Copy(io.Discard, r.Conn)
}

var hello = fields{
	"type":  "hello",
	"hello": fields{"instance": "x-1", "incarnation": "1", "dataCentre": "bento"},
}

func end(exchange int, requestID string, pieces int) fields {
	return fields{"type": "end", "exchange": exchange, "end": fields{
		"requestId": requestID, "stage": "summarise", "attempt": 2, "output": []byte("out"),
		"backendServer": "engine-1", "instance": "x-1", "dataCentre": "bento",
		"waitedMs": 1.5, "executedMs": 40.0, "pieces": pieces,
	}}
}

func piece(exchange, attempt, number int, data string) fields {
	return fields{"type": "piece", "exchange": exchange, "piece": fields{
		"attempt": attempt, "number": number, "data": []byte(data),
	}}
}

func failure(exchange int, reason string, sent bool) fields {
	return fields{"type": "failure", "exchange": exchange, "failure": fields{
		"reason": reason, "detail": "detail from the peer", "sent": sent,
	}}
}

func execute(exchange int, streamed bool) fields {
	return fields{"type": "execute", "exchange": exchange, "execute": fields{
		"requestId": "r-1", "workspace": "tallies", "class": "gold", "rank": 1, "weight": 1,
		"stage": "summarise", "kind": "generate", "pool": "engines", "attempt": 2,
		"remainingMs": 6000, "input": []byte("in"), "repeatable": true, "revision": 41,
		"streamed": streamed,
	}}
}

// observer collects the counters and log lines of a Client or Server.
type observer struct {
	mu       sync.Mutex
	log      bytes.Buffer
	counters *counter.Set
}

func newObserver() *observer { return &observer{counters: &counter.Set{}} }

func (o *observer) Write(data []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.log.Write(data)
}

func (o *observer) logger() *event.Logger { return event.NewLogger(o, "debug", "a-1") }

// String returns the counters and the log lines without their time.
func (o *observer) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var b strings.Builder
	values := o.counters.Values()
	for _, k := range slices.Sorted(maps.Keys(values)) {
		fmt.Fprintf(&b, "  counter %s %d\n", k, values[k])
	}
	for line := range strings.Lines(o.log.String()) {
		var entry map[string]any
		if err := json.Unmarshal([]byte(line), &entry); err != nil {
			return err.Error()
		}
		fmt.Fprintf(&b, "  event %v %v", entry["event"], entry["message"])
		for _, k := range []string{"peer", "dataCentre", "remote", "error"} {
			if v, ok := entry[k]; ok {
				fmt.Fprintf(&b, " %s=%q", k, v)
			}
		}
		b.WriteByte('\n')
	}
	return b.String()
}

// newScriptedPeer returns a client whose first connection leads to a peer that
// runs the script. Later connections are refused. The returned function closes
// the client and waits for the script.
func newScriptedPeer(t testing.TB, o *observer, script func(r *rawPeer)) (*peer.Client, func()) {
	c := newClient()
	c.Counters, c.Logger = o.counters, o.logger()
	var running sync.WaitGroup
	var once sync.Once
	c.Dial = func(context.Context, string) (net.Conn, error) {
		var clientEnd net.Conn
		once.Do(func() {
			var peerEnd net.Conn
			clientEnd, peerEnd = net.Pipe()
			running.Go(func() {
				defer func() { _ = peerEnd.Close() }()
				script(newRawPeer(t, peerEnd))
			})
		})
		if clientEnd == nil {
			return nil, net.ErrClosed
		}
		return clientEnd, nil
	}
	return c, func() {
		c.Close()
		running.Wait()
	}
}
