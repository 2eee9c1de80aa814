package peer

import (
	"math/rand/v2"
	"time"
)

const (
	minBackoff = 100 * time.Millisecond
	// maxBackoff bounds how long peers keep avoiding an instance after it is
	// reachable again.
	maxBackoff = 5 * time.Second
	// stableAfter is how long a connection must last to clear the failure count.
	// Otherwise a peer that accepts connections and closes them at once would be
	// dialled without backoff.
	stableAfter = 5 * time.Second
	// linkRetention is how long an unused link is kept. Replaced instances come back
	// under other addresses.
	linkRetention = 10 * time.Minute
)

// Link is the state of the connection to an address. It is immutable.
type Link struct {
	Address string
	// Peer identifies the instance that last completed a handshake at the address.
	Peer Hello
	// LastError is the error of the last failed attempt or lost connection.
	LastError string
	// Failures is the number of consecutive failed attempts.
	Failures int
	// RetryAt is the earliest time of the next attempt.
	RetryAt time.Time
	// ConnectedAt is when the connection was established; zero without a connection.
	ConnectedAt time.Time

	conn *dialledConn
	// dialling is closed when the attempt in progress ends; nil without an attempt.
	dialling chan struct{}
}

// IsConnected reports whether there is a connection.
func (l Link) IsConnected() bool { return l.conn != nil }

// isExpired reports whether the link may be dropped.
func (l Link) isExpired(now time.Time) bool {
	return l.conn == nil && l.dialling == nil && now.Sub(l.RetryAt) > linkRetention
}

// withDialling returns the link with an attempt in progress.
func (l Link) withDialling() Link {
	l.dialling = make(chan struct{})
	return l
}

// withConnection returns the link with a connection to a peer.
func (l Link) withConnection(o *dialledConn, peer Hello, now time.Time) Link {
	l.conn, l.Peer, l.ConnectedAt, l.dialling = o, peer, now, nil
	return l
}

// WithFailure returns the link after a failed attempt. The backoff doubles with
// each failure. Half of it is random, which spreads the attempts of many
// instances after a common outage.
func (l Link) WithFailure(cause error, now time.Time) Link {
	wait := min(minBackoff<<min(l.Failures, 10), maxBackoff)
	l.Failures++
	l.LastError = cause.Error()
	l.RetryAt = now.Add(wait/2 + rand.N(wait/2+1))
	l.conn, l.dialling, l.ConnectedAt = nil, nil, time.Time{}
	return l
}

// WithConnectionLoss returns the link after its connection was lost.
func (l Link) WithConnectionLoss(cause error, now time.Time) Link {
	if now.Sub(l.ConnectedAt) < stableAfter {
		return l.WithFailure(cause, now)
	}
	l.LastError = cause.Error()
	l.Failures, l.RetryAt = 0, now
	l.conn, l.ConnectedAt = nil, time.Time{}
	return l
}
