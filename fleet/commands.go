package fleet

import "time"

// Commands changes a table. Concurrent calls are safe.
type Commands struct{ table *Table }

func (c Commands) change(with func(List) List) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	next := with(*t.current.Load())
	t.current.Store(&next)
}

// Announce takes over the entry of a server. A server that another one has
// followed at its address is gone.
func (c Commands) Announce(s Server) {
	c.change(func(l List) List {
		for _, other := range l.servers {
			if other.Address == s.Address && other.ID != s.ID && other.Offset < s.Offset {
				l = l.WithoutServer(other.ID)
			}
		}
		return l.WithServer(s)
	})
}

// Remove takes a server off the list.
func (c Commands) Remove(id string) {
	c.change(func(l List) List { return l.WithoutServer(id) })
}

// Lapse notes that the entry of a server disappeared while the store was away,
// which may mean nothing: it stays usable for a short time.
func (c Commands) Lapse(id string, now time.Time) {
	c.change(func(l List) List {
		s, ok := l.servers[id]
		if !ok {
			return l
		}
		return l.WithServer(s.WithLapse(now))
	})
}

// SetEvacuated notes whether operators want a data centre to get no new work.
func (c Commands) SetEvacuated(dataCentre string, isEvacuated bool) {
	c.change(func(l List) List { return l.WithEvacuated(dataCentre, isEvacuated) })
}
