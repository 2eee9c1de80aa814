// Package intake accounts for the memory and the connections that clients take up in a
// process, and decides who waits, who is refused and whose connection is closed when
// either runs short. Memory is counted before it is allocated and deducted when it is
// released: the bodies of requests while they are read and served, answers until they are
// written, and messages of other instances. Package frontend applies the account to HTTP.
package intake

import (
	"errors"
	"time"
)

// Sentinel errors of requests that get no memory.
var (
	// ErrShort: memory was short for longer than the request may wait.
	ErrShort = errors.New("memory is short")
	// ErrShed: the request was chosen to release its memory.
	ErrShed = errors.New("request was shed because memory is short")
)

// Class is the kind of a connection. Each class has a limit of its own, so that clients
// can't lock out other instances and operators.
type Class int

// The classes of connections.
const (
	Clients Class = iota
	Peers
	Operators
	classCount
)

func (c Class) String() string { return [...]string{"client", "peer", "operator"}[c] }

// Phase is what a request does.
type Phase int

// The phases of a request, in their order. Requests that are being served are never shed,
// because they may have run at a backend server.
const (
	// Receiving: its body is being read, and it has certainly not run.
	Receiving Phase = iota
	Serving
	// Sending: its answer is being written.
	Sending
	// Idle is the phase of a connection without a request.
	Idle
)

func (p Phase) String() string { return [...]string{"receiving", "serving", "sending", "idle"}[p] }

const (
	// BaseBytes is counted for each request, and covers the first FreeBytes of its body and
	// of its answer, its headers and its state.
	BaseBytes = 16 << 10
	// FreeBytes is the part of a body or of an answer that BaseBytes covers.
	FreeBytes = 4 << 10
	// smallBytes is the largest memory of a request that may use the reserve. Ordinary
	// requests are smaller.
	smallBytes = 64 << 10
	// connectionBytes is the memory of a connection without a request: its buffers and the
	// stack of its goroutine.
	connectionBytes = 16 << 10
	// memoryDivisor and connectionDivisor are the parts of the memory of the process for
	// requests and for connections. The rest is for the system's own work, for the runtime,
	// and for memory that is released and not yet collected, which may be as much again.
	memoryDivisor     = 5
	connectionDivisor = 8
	// minMemory is the least memory for requests, in which the largest message fits.
	minMemory = 16 << 20
	// reserveDivisor is the part of the memory for requests that only small ones get.
	reserveDivisor = 4
	// maxPeers and maxOperators are the connections of other instances and of operators. A
	// site of 350 instances opens 350 connections to each, and twice as many while their
	// links are replaced.
	maxPeers     = 1024
	maxOperators = 64
	// ownDescriptors is reserved for files, listeners and calls to the store.
	ownDescriptors = 128
)

// Bounds are the limits of an account. It is an immutable value.
type Bounds struct {
	// Memory is the number of bytes for all requests, Reserve the part of it that only
	// small requests get.
	Memory  int64
	Reserve int64
	// Connections are the numbers of connections by class.
	Connections [classCount]int
}

// BoundsFor returns the bounds for a process with the given memory in bytes and number of
// file descriptors.
func BoundsFor(memory int64, descriptors int) Bounds {
	b := Bounds{Memory: max(memory/memoryDivisor, minMemory)}
	b.Reserve = b.Memory / reserveDivisor
	available := max(8, descriptors-ownDescriptors-maxOperators)
	b.Connections[Operators] = maxOperators
	b.Connections[Peers] = min(maxPeers, available/3)
	// A request of a client may take one more descriptor for its backend server.
	b.Connections[Clients] = max(1, min(int(memory/connectionDivisor/connectionBytes), (available-b.Connections[Peers])/2))
	return b
}

// fits reports whether a request that holds some bytes may grow while a number of bytes is
// in use. One that is larger than the account may still grow if the others are small, so
// that the largest body of a configuration is served on the smallest machine.
func (b Bounds) fits(used, held, growth int64) bool {
	size := held + growth
	if size <= smallBytes {
		return used+growth <= b.Memory
	}
	if used+growth <= b.Memory-b.Reserve {
		return true
	}
	return size > b.Memory-b.Reserve && size <= b.largest() && used-held <= b.Reserve
}

// largest returns the size of the largest request.
func (b Bounds) largest() int64 { return 2 * b.Memory }

// Patience is how long a request waits for memory before it is refused. A client that has
// just stopped is found to make no progress and shed within two samples and a review,
// which is less.
const Patience = 1500 * time.Millisecond

// AnswerPatience is how long a finished answer waits for memory before its connection is
// closed. The request has run, so that its answer is worth more than another body.
const AnswerPatience = 5 * time.Second
