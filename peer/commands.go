package peer

import (
	"maps"
	"time"
)

// Commands changes a Table. Concurrent calls are safe.
type Commands struct {
	Table *Table
}

// begin returns the link to an address. If there is no connection, no attempt
// under way and no backoff, it calls dial, which must not wait; under the lock,
// so that no attempt begins after close. It reports false once the table is
// closed.
func (c Commands) begin(address string, now time.Time, dial func()) (Link, bool) {
	t := c.Table
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isClosed {
		return Link{}, false
	}
	link, known := t.links[address]
	if !known {
		link = Link{Address: address}
		maps.DeleteFunc(t.links, func(_ string, l Link) bool { return l.isForgotten(now) })
	}
	if link.conn != nil || link.dialling != nil || now.Before(link.RetryAt) {
		return link, true
	}
	link = link.withDialling()
	t.links[address] = link
	dial()
	return link, true
}

// connected ends an attempt with a connection. It reports false if the table
// was closed meanwhile.
func (c Commands) connected(address string, o *outbound, peer Hello, now time.Time) bool {
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

// failed ends an attempt without a connection.
func (c Commands) failed(address string, cause error, now time.Time) {
	t := c.Table
	t.mu.Lock()
	defer t.mu.Unlock()
	link := t.links[address]
	if link.dialling != nil {
		close(link.dialling)
	}
	t.links[address] = link.WithFailure(cause, now)
}

// lost removes a connection that has ended.
func (c Commands) lost(address string, o *outbound, cause error, now time.Time) {
	t := c.Table
	t.mu.Lock()
	defer t.mu.Unlock()
	if link := t.links[address]; link.conn == o {
		t.links[address] = link.WithLoss(cause, now)
	}
}

// close keeps new connections from being made and returns the ones there are.
func (c Commands) close() []*outbound {
	t := c.Table
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isClosed = true
	var open []*outbound
	for _, l := range t.links {
		if l.conn != nil {
			open = append(open, l.conn)
		}
	}
	return open
}

// forgive ends the backoff of a link without a connection.
func (c Commands) forgive(address string, now time.Time) {
	t := c.Table
	t.mu.Lock()
	defer t.mu.Unlock()
	if link, ok := t.links[address]; ok && link.conn == nil && now.Before(link.RetryAt) {
		link.RetryAt = now
		t.links[address] = link
	}
}
