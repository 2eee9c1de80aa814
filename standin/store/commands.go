package store

import (
	"time"

	"github.com/rotisserie/eris"

	"lycheecrank.example/provider"
)

// history is how long announcements are kept for listings that lag.
const history = time.Minute

// longestWait bounds the queue of appends; beyond it an append is refused.
const longestWait = time.Second

// Commands changes the platform. Concurrent calls are safe.
type Commands struct {
	table *Table
}

// NewCommands returns the commands of a table.
func NewCommands(t *Table) *Commands { return &Commands{table: t} }

// ReserveAppend takes a place under the limit of appends and returns how long
// to wait for it. It returns provider.ErrRateLimited if the wait is above 1 s.
func (c *Commands) ReserveAppend() (time.Duration, error) {
	r := c.table.appends.Reserve()
	if d := r.Delay(); d <= longestWait {
		return d, nil
	}
	r.Cancel()
	return 0, eris.Wrap(provider.ErrRateLimited, "append")
}

// Append adds records to a stream and returns the offset of the first.
func (c *Commands) Append(name string, data [][]byte) uint64 {
	t := c.table
	t.lock.Lock()
	defer t.lock.Unlock()
	old, ok := t.streams[name]
	if !ok {
		old = newStream()
	}
	t.streams[name] = old.withRecords(data, time.Now(), t.options.Retain)
	close(old.changed)
	return old.next
}

// Open creates a stream without records, so that it can be followed.
func (c *Commands) Open(name string) {
	t := c.table
	t.lock.Lock()
	defer t.lock.Unlock()
	if _, ok := t.streams[name]; !ok {
		t.streams[name] = newStream()
	}
}

// Announce enters an instance into the list or refreshes it.
func (c *Commands) Announce(i provider.Instance) {
	t := c.table
	t.lock.Lock()
	defer t.lock.Unlock()
	now := time.Now()
	seen := t.instances[i.Name]
	for len(seen) > 0 && now.Sub(seen[0].at) > history+t.options.InstanceTTL {
		seen = seen[1:]
	}
	t.instances[i.Name] = append(seen, sighting{at: now, instance: i})
}
