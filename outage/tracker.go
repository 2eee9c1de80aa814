// Package outage detects unreachable data centres from the failures of their servers,
// so that work is not sent to each server of such a data centre in turn.
package outage

import "time"

const (
	// minServers is the number of different servers that must fail, without a success
	// in between, before a data centre is blocked. A single one may have crashed.
	minServers = 2
	// minBlock is the duration of the first block. It doubles with each further block,
	// up to maxBlock.
	minBlock = 400 * time.Millisecond
	maxBlock = 3 * time.Second
)

// Tracker records the failures of data centres. It belongs to a table and is used
// under the lock of that table. The zero value has no failures.
type Tracker struct {
	states map[string]dataCentreState
}

// dataCentreState holds the failures of a data centre after its last success.
type dataCentreState struct {
	// failedServers is the set of servers that have failed.
	failedServers map[string]bool
	// blockCount counts the blocks after the last success.
	blockCount int
	// blockedUntil is the end of the current block. After it, one server is tried.
	blockedUntil time.Time
}

// RecordFailure records that a server did not respond, or responded with an error.
func (t *Tracker) RecordFailure(dataCentre, server string, now time.Time) {
	if t.states == nil {
		t.states = map[string]dataCentreState{}
	}
	s := t.states[dataCentre]
	if s.failedServers == nil {
		s.failedServers = map[string]bool{}
	}
	s.failedServers[server] = true
	// Failures of work that was sent before the block began don't extend it.
	if len(s.failedServers) >= minServers && !now.Before(s.blockedUntil) {
		s.blockedUntil = now.Add(min(maxBlock, minBlock<<min(s.blockCount, 8)))
		s.blockCount++
	}
	t.states[dataCentre] = s
}

// RecordSuccess records a response of a server of the data centre and removes all
// failures of the data centre.
func (t *Tracker) RecordSuccess(dataCentre string) { delete(t.states, dataCentre) }

// IsBlocked reports whether no work may be sent to the servers of a data centre.
func (t *Tracker) IsBlocked(dataCentre string, now time.Time) bool {
	return now.Before(t.states[dataCentre].blockedUntil)
}

// RecordSent records that work, which ends by the given time, was sent to a server of
// the data centre. If the data centre has been blocked after its last success, this
// work tests whether it is reachable again, and the data centre stays blocked until
// that time.
func (t *Tracker) RecordSent(dataCentre string, until time.Time) {
	if s, ok := t.states[dataCentre]; ok && s.blockCount > 0 {
		s.blockedUntil = until
		t.states[dataCentre] = s
	}
}

// BlockedUntil returns the time until which a data centre is blocked, including the time
// for the work of RecordSent, or the zero time if it has not been blocked after its
// last success.
func (t *Tracker) BlockedUntil(dataCentre string) time.Time { return t.states[dataCentre].blockedUntil }
