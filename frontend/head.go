package frontend

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"time"

	"lycheecrank.example/intake"
)

const (
	// headerBytes is the memory of a header beside its bytes: its places in the map of the
	// request and in the copy that is sent to a backend server. BenchmarkHeadMemory shows it.
	headerBytes = 2 * 115
	// freeHeadBytes is the part of the memory of a head that intake.BaseBytes covers.
	freeHeadBytes = 8 << 10
	// headBlockBytes is the size in which the memory of a head is counted.
	headBlockBytes = 16 << 10
)

// headMeter counts the memory of the head of a request before net/http parses what has
// arrived of it. A head of short headers takes many times its size.
type headMeter struct {
	connection *intake.Connection

	mu sync.Mutex
	// head holds the counted memory, nil if the head is small.
	head *intake.Request
	// size is the memory of what has arrived, counted the part of it that head holds.
	size, counted int64
	isClosed      bool
}

// add counts bytes of a head. It waits while memory is short. The error is that of
// intake.Request.Grow; the connection must be closed then.
func (m *headMeter) add(data []byte) error {
	m.mu.Lock()
	m.size += int64(len(data)) + headerBytes*int64(bytes.Count(data, []byte{'\n'}))
	missing := m.size - freeHeadBytes - m.counted
	if missing <= 0 || m.isClosed {
		m.mu.Unlock()
		return nil
	}
	if m.head == nil {
		m.head = m.connection.TrackHead(time.Now())
	}
	head, growth := m.head, (missing+headBlockBytes-1)/headBlockBytes*headBlockBytes
	m.counted += growth
	m.mu.Unlock()
	return head.Grow(context.Background(), growth, intake.Patience)
}

// take returns what holds the memory of the head, nil if nothing does, and begins the next
// head.
func (m *headMeter) take() *intake.Request {
	m.mu.Lock()
	defer m.mu.Unlock()
	head := m.head
	m.head, m.size, m.counted = nil, 0, 0
	return head
}

// close releases the memory of a head that won't be served.
func (m *headMeter) close() {
	m.mu.Lock()
	m.isClosed = true
	m.mu.Unlock()
	m.take().End(time.Now())
}

// headMemory returns the memory of the head of a request beyond the part that
// intake.BaseBytes covers.
func headMemory(r *http.Request) int64 {
	size := int64(len(r.RequestURI))
	for name, values := range r.Header {
		for _, value := range values {
			size += int64(len(name)+len(value)) + headerBytes
		}
	}
	return max(0, size-freeHeadBytes)
}
