package peer_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lycheecrank.example/peer"
	"lycheecrank.example/request"
)

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// loopback returns a client connected to a server over loopback, the address of
// the server, and the number of bytes exchanged.
func loopback(b *testing.B, s *peer.Server) (*peer.Client, string, *atomic.Int64) {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	c := newClient()
	dial, bytes := c.Dial, &atomic.Int64{}
	c.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		n, err := dial(ctx, address)
		return countingConn{n, bytes}, err
	}
	b.Cleanup(start(b, s, l, c))
	if _, err := c.ExchangeDigests(b.Context(), l.Addr().String(), peer.Digest{}); err != nil {
		b.Fatal(err)
	}
	return c, l.Addr().String(), bytes
}

func reportWire(b *testing.B, bytes *atomic.Int64) {
	b.Helper()
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
}

// benchmarkExecute measures steps with 1 KiB of input.
func benchmarkExecute(b *testing.B, s *peer.Server, sink request.Sink) {
	b.Helper()
	c, address, bytes := loopback(b, s)
	input := strings.Repeat("x", 1024)
	b.ReportAllocs()
	bytes.Store(0)
	for b.Loop() {
		if _, err := c.Execute(b.Context(), address, step(input), sink); err != nil {
			b.Fatal(err)
		}
	}
	reportWire(b, bytes)
}

func BenchmarkExecute(b *testing.B) {
	benchmarkExecute(b, newServer(), nil)
}

func BenchmarkExecuteParallel(b *testing.B) {
	c, address, _ := loopback(b, newServer())
	input := strings.Repeat("x", 1024)
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := c.Execute(context.Background(), address, step(input), nil); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

func BenchmarkStreamOf100Pieces(b *testing.B) {
	s := newServer()
	data := []byte("token")
	s.Execute = func(ctx context.Context, st request.Step, sink request.Sink) (request.Result, error) {
		for i := range 100 {
			if err := sink(request.Piece{Attempt: st.Attempt, Number: uint32(i), Data: data}); err != nil {
				return request.Result{}, err
			}
		}
		return echo(ctx, st, nil)
	}
	benchmarkExecute(b, s, func(request.Piece) error { return nil })
}

func BenchmarkDigestExchange(b *testing.B) {
	c, address, bytes := loopback(b, newServer())
	own := peer.Digest{CatalogueOffset: 1_000_000, OwnershipOffset: 10_000_000, LogContactAgeMs: 1000}
	b.ReportAllocs()
	bytes.Store(0)
	for b.Loop() {
		if _, err := c.ExchangeDigests(b.Context(), address, own); err != nil {
			b.Fatal(err)
		}
	}
	reportWire(b, bytes)
}

// BenchmarkIdleConnections reports the memory of a connection, both ends
// together. An instance of the largest site, which has 350 instances, holds up to
// 350 connections in each direction.
func BenchmarkIdleConnections(b *testing.B) {
	const connections = 200
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	c := newClient()
	address := l.Addr().String()
	dial := c.Dial
	c.Dial = func(ctx context.Context, _ string) (net.Conn, error) { return dial(ctx, address) }
	b.Cleanup(start(b, newServer(), l, c))
	for b.Loop() {
		before := heapAndStackBytes()
		for i := range connections {
			if _, err := c.ExchangeDigests(b.Context(), fmt.Sprintf("%d-%d", time.Now().UnixNano(), i), peer.Digest{}); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(heapAndStackBytes()-before)/connections, "B/connection")
	}
}

func heapAndStackBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
