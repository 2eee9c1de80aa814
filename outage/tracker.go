// Package outage finds data centres that can't be reached from the failures of their
// servers, so that work is not sent to each server of such a data centre in turn.
package outage

import "time"

const (
	// minServers is the number of servers that have to fail with none succeeding
	// meanwhile: one may have crashed.
	minServers = 2
	// minBlock is how long a data centre is left alone after that, which doubles with
	// each further failure up to maxBlock.
	minBlock = 400 * time.Millisecond
	maxBlock = 3 * time.Second
)

// Tracker keeps what is known of data centres. It belongs to a table and is used
// under its lock. The zero value knows of no failure.
type Tracker struct {
	places map[string]place
}

// place is what is known of a data centre since its last success.
type place struct {
	// failed are the servers that failed.
	failed map[string]bool
	blocks int
	// blockedUntil is until when the data centre gets nothing. After it one server is
	// tried.
	blockedUntil time.Time
}

// Failed notes that a server did not answer, or not as it should.
func (t *Tracker) Failed(dataCentre, server string, now time.Time) {
	if t.places == nil {
		t.places = map[string]place{}
	}
	p := t.places[dataCentre]
	if p.failed == nil {
		p.failed = map[string]bool{}
	}
	p.failed[server] = true
	// What was on its way when the block began says nothing new.
	if len(p.failed) >= minServers && !now.Before(p.blockedUntil) {
		p.blockedUntil = now.Add(min(maxBlock, minBlock<<min(p.blocks, 8)))
		p.blocks++
	}
	t.places[dataCentre] = p
}

// Succeeded notes that a server of the data centre has answered.
func (t *Tracker) Succeeded(dataCentre string) { delete(t.places, dataCentre) }

// IsBlocked reports whether the servers of a data centre get nothing.
func (t *Tracker) IsBlocked(dataCentre string, now time.Time) bool {
	return now.Before(t.places[dataCentre].blockedUntil)
}

// Sent notes that a server of the data centre gets work that takes until a time at
// most. If the data centre is in doubt, its other servers get nothing until then.
func (t *Tracker) Sent(dataCentre string, until time.Time) {
	if p, ok := t.places[dataCentre]; ok && p.blocks > 0 {
		p.blockedUntil = until
		t.places[dataCentre] = p
	}
}

// Blocked returns until when a data centre gets nothing, zero if it is not blocked.
func (t *Tracker) Blocked(dataCentre string) time.Time { return t.places[dataCentre].blockedUntil }
