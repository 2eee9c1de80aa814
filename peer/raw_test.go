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

// fields is a message as another implementation of the protocol builds it.
type fields map[string]any

// raw is a peer that sends whatever a test tells it to.
type raw struct {
	testing.TB
	net.Conn
	reader peer.FrameReader
}

func newRaw(t testing.TB, n net.Conn) *raw {
	return &raw{TB: t, Conn: n, reader: peer.FrameReader{Reader: n}}
}

func encoded(t testing.TB, m fields) []byte {
	t.Helper()
	data, err := msgpack.Marshal(map[string]any(m))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// framed puts a length before the bytes.
func framed(data []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...)
}

// send writes a message. A connection that the other side closed is no error
// here: the tests look at what the other side reports.
func (r *raw) send(m fields) {
	r.Helper()
	r.bytes(framed(encoded(r, m)))
}

func (r *raw) bytes(data []byte) {
	_, _ = r.Write(data)
}

// next reads a message; nil once the connection is closed.
func (r *raw) next() fields {
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

// greet exchanges hellos.
func (r *raw) greet() {
	r.Helper()
	r.send(hello)
	if m := r.next(); m["type"] != "hello" {
		r.Errorf("%v instead of hello", m)
	}
}

// accept exchanges hellos and reads the first message.
func (r *raw) accept() fields {
	r.Helper()
	r.greet()
	return r.next()
}

// answer reads until the connection is closed and answers pings.
func (r *raw) answer() {
	r.Helper()
	for m := r.next(); m != nil; m = r.next() {
		if m["type"] == "ping" {
			r.send(fields{"type": "pong"})
		}
	}
}

// drain reads until the connection is closed and answers nothing.
func (r *raw) drain() {
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
		"reason": reason, "detail": "said by the peer", "sent": sent,
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

// observed collects what a Client or Server reports.
type observed struct {
	mu       sync.Mutex
	log      bytes.Buffer
	counters *counter.Set
}

func newObserved() *observed { return &observed{counters: &counter.Set{}} }

func (o *observed) Write(data []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.log.Write(data)
}

func (o *observed) logger() *event.Logger { return event.NewLogger(o, "debug", "a-1") }

// String lists the counters and the log lines without their time.
func (o *observed) String() string {
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

// against returns a client whose first connection leads to a script and whose
// later ones are refused. The returned function closes the client and waits for
// the script.
func against(t testing.TB, o *observed, script func(r *raw)) (*peer.Client, func()) {
	c := newClient()
	c.Counters, c.Logger = o.counters, o.logger()
	var running sync.WaitGroup
	var once sync.Once
	c.Dial = func(context.Context, string) (net.Conn, error) {
		var near net.Conn
		once.Do(func() {
			var far net.Conn
			near, far = net.Pipe()
			running.Go(func() {
				defer func() { _ = far.Close() }()
				script(newRaw(t, far))
			})
		})
		if near == nil {
			return nil, net.ErrClosed
		}
		return near, nil
	}
	return c, func() {
		c.Close()
		running.Wait()
	}
}
