package peer

import (
	"maps"
	"time"
)

// Commands modifies a Table. It is safe for concurrent use.
type Commands struct {
	Table *Table
}

// startDial returns the link to an address. If the link has no connection, no
// attempt in progress and no backoff, it calls dial, which must not block. The
// call is made under the lock, so that no attempt starts after close. It reports
// false once the table is closed.
func (c Commands) startDial(address string, now time.Time, dial func()) (Link, bool) {
	t := c.Table
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isClosed {
		return Link{}, false
	}
	link, known := t.links[address]
	if !known {
		link = Link{Address: address}
		maps.DeleteFunc(t.links, func(_ string, l Link) bool { return l.isExpired(now) })
	}
	if link.conn != nil || link.dialling != nil || now.Before(link.RetryAt) {
		return link, true
	}
	link = link.withDialling()
	t.links[address] = link
	dial()
	return link, true
}

// recordConnected ends an attempt with a connection. It reports false if the
// table was closed during the attempt.
func (c Commands) recordConnected(address string, o *dialledConn, peer Hello, now time.Time) bool {
	t := c.Table
	t.mu.Lock()
	defer t.mu.Unlock()
	link := t.links[address]
	if link.dialling != nil {
		close(link.dialling)
	}
	t.links[address] = link.withConnection(o, peer, now)
	return !t.isClosed
}

// recordFailure ends an attempt without a connection.
func (c Commands) recordFailure(address string, cause error, now time.Time) {
	t := c.Table
	t.mu.Lock()
	defer t.mu.Unlock()
	link := t.links[address]
	if link.dialling != nil {
		close(link.dialling)
	}
	t.links[address] = link.WithFailure(cause, now)
}

// recordLoss removes a connection that has ended.
func (c Commands) recordLoss(address string, o *dialledConn, cause error, now time.Time) {
	t := c.Table
	t.mu.Lock()
	defer t.mu.Unlock()
	if link := t.links[address]; link.conn == o {
		t.links[address] = link.WithConnectionLoss(cause, now)
	}
}

// close prevents new connections and returns the open ones.
func (c Commands) close() []*dialledConn {
	t := c.Table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isClosed = true
	var open []*dialledConn
	for _, l := range t.links {
		if l.conn != nil {
			open = append(open, l.conn)
		}
	}
	return open
}

// resetBackoff ends the backoff of a link without a connection.
func (c Commands) resetBackoff(address string, now time.Time) {
	t := c.Table
	t.mu.Lock()
	defer t.mu.Unlock()
	if link, ok := t.links[address]; ok && link.conn == nil && now.Before(link.RetryAt) {
		link.RetryAt = now
		t.links[address] = link
	}
}
