package hedge

import "time"

// Queries reads a Table. Concurrent calls are safe.
type Queries struct {
	table *Table
}

// Delay returns how long a request of a class may take until it is late, or false if that
// is unknown.
func (q Queries) Delay(class Class, now time.Time) (time.Duration, bool) {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.profile(class, now)
	return p.Delay, p.Delay > 0
}

// profile returns the profile of a class, the zero value if it is outdated. The caller
// holds the lock.
func (t *Table) profile(class Class, now time.Time) Profile {
	w, ok := t.classes[class]
	if !ok || now.Sub(w.profile.At) > maxAge {
		return Profile{}
	}
	return w.profile
}

// Verdict decides about a second send of a request that is late at a server and has some
// time left.
func (q Queries) Verdict(class Class, server string, left time.Duration, now time.Time) Verdict {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.pools[class.Pool]
	if !ok {
		return UnknownResults
	}
	return Decide(t.profile(class, now), p.results, server, p.refusedAt, left, now)
}

// Queued returns the servers that have reported requests in their queue recently.
func (q Queries) Queued(now time.Time) []string {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	var servers []string
	for s, at := range t.queued {
		if now.Sub(at) <= loadAge {
			servers = append(servers, s)
		}
	}
	return servers
}
