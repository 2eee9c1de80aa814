package peer

import (
	"math/rand/v2"
	"time"
)

const (
	firstBackoff = 100 * time.Millisecond
	// lastBackoff keeps a returning instance from being avoided for longer than
	// its peers need to notice it.
	lastBackoff = 5 * time.Second
	// settledAfter is how long a connection must live to clear the failures. A
	// peer that accepts and closes at once is backed off from as well.
	settledAfter = 5 * time.Second
	// forgetAfter is when a link that was not used again is dropped, since
	// replaced instances come back at other addresses.
	forgetAfter = 10 * time.Minute
)

// Link is the state of the connection to an address. It is immutable.
type Link struct {
	Address string
	// Peer is the instance that answered last.
	Peer Hello
	// Cause is the error of the last attempt or connection that failed.
	Cause string
	// Failures counts the attempts that failed in a row.
	Failures int
	// RetryAt is the earliest time of the next attempt.
	RetryAt time.Time
	// ConnectedAt is when the connection was made; zero if there is none.
	ConnectedAt time.Time

	conn *outbound
	// dialling is closed when the attempt under way has ended.
	dialling chan struct{}
}

// IsConnected reports whether there is a connection.
func (l Link) IsConnected() bool { return l.conn != nil }

// isForgotten reports whether the link may be dropped.
func (l Link) isForgotten(now time.Time) bool {
	return l.conn == nil && l.dialling == nil && now.Sub(l.RetryAt) > forgetAfter
}

// withDialling returns the link with an attempt under way.
func (l Link) withDialling() Link {
	l.dialling = make(chan struct{})
	return l
}

// withConnection returns the link with a connection to a peer.
func (l Link) withConnection(o *outbound, peer Hello, now time.Time) Link {
	l.conn, l.Peer, l.ConnectedAt, l.dialling = o, peer, now, nil
	return l
}

// WithFailure returns the link after a failed attempt. The wait doubles with
// each failure; the half of it that is random spreads the attempts of many
// instances after one outage.
func (l Link) WithFailure(cause error, now time.Time) Link {
	wait := min(firstBackoff<<min(l.Failures, 10), lastBackoff)
	l.Failures++
	l.Cause = cause.Error()
	l.RetryAt = now.Add(wait/2 + rand.N(wait/2+1))
	l.conn, l.dialling, l.ConnectedAt = nil, nil, time.Time{}
	return l
}

// WithLoss returns the link after its connection was lost.
func (l Link) WithLoss(cause error, now time.Time) Link {
	if now.Sub(l.ConnectedAt) < settledAfter {
		return l.WithFailure(cause, now)
	}
	l.Cause = cause.Error()
	l.Failures, l.RetryAt = 0, now
	l.conn, l.ConnectedAt = nil, time.Time{}
	return l
}
