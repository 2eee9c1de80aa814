package batch

import (
	"slices"
	"time"
)

// Queries reads a Table. Concurrent calls are safe.
type Queries struct{ table *Table }

// PoolStatus is the queue length and the capacity of a pool.
type PoolStatus struct {
	Pool          string
	WaitingPieces int
	// Servers is the number of servers that can get work, BusyServers the number of
	// those that have calls in progress.
	Servers     int
	BusyServers int
	// UsedMemoryShare is the used share of the result memory of these servers, from 0
	// to 1.
	UsedMemoryShare float64
	// ExpectedWait estimates how long a piece that is queued now waits.
	ExpectedWait time.Duration
}

// PoolStatus returns the state of a pool.
func (q Queries) PoolStatus(name string, now time.Time) PoolStatus {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[name]
	if p == nil {
		return PoolStatus{Pool: name}
	}
	d := PoolStatus{Pool: name, WaitingPieces: p.queue.size()}
	perSecond, used := p.rate(now), int64(0)
	for _, s := range p.servers {
		if s.isDraining || s.isBlocked(now) {
			continue
		}
		d.Servers++
		d.BusyServers += min(1, s.Calls)
		used += s.usedMemory(now)
	}
	if memory := int64(d.Servers) * p.spec.ResultMemoryBytes; memory > 0 {
		d.UsedMemoryShare = float64(used) / float64(memory)
	}
	if perSecond > 0 {
		d.ExpectedWait = time.Duration(float64(d.WaitingPieces) / perSecond * float64(time.Second))
	}
	return d
}

// EstimateWait estimates how long a piece with a latest start and a class would wait if
// it were queued now, behind the pieces in the queue and those upstream: pieces that will
// be queued before it. It is 0 if no server of the pool can get calls at the moment, because
// the end of that is unknown.
func (q Queries) EstimateWait(name string, upstream int, start time.Time, c Class, now time.Time) time.Duration {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[name]
	if p == nil {
		return 0
	}
	rate := p.rate(now)
	if rate <= 0 {
		return 0
	}
	return time.Duration((p.queue.piecesAhead(start, c, now) + float64(upstream)) / rate * float64(time.Second))
}

// UnattainableRequest is a request that cannot be completed in time, with the estimated
// wait of its first such piece.
type UnattainableRequest struct {
	RequestID    string
	ExpectedWait time.Duration
	// IsCutShort is set if another instance of the client could wait long enough.
	IsCutShort bool
}

// UnattainableRequests returns the requests with a piece that waits behind so many
// others that the request misses its deadline or its inputs expire. In the second case
// all of its stages would be recomputed, in an overload more than once. A request whose
// instance gives its final answers is also unattainable if it can't be prepared by then,
// even if it can be on time. The parameter after is the time that a request still needs
// once its waiting pieces are computed.
func (q Queries) UnattainableRequests(after time.Duration, now time.Time) []UnattainableRequest {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	var unattainable []UnattainableRequest
	seen := map[string]bool{}
	for _, name := range t.poolNames {
		p := t.pools[name]
		rate := p.rate(now)
		if rate <= 0 {
			continue
		}
		for k, piece := range p.queue.onTime {
			wait := time.Duration(float64(k) / rate * float64(time.Second))
			if piece.isCutShort(now.Add(wait+p.spec.CallTime+after)) && !seen[piece.RequestID] {
				seen[piece.RequestID] = true
				unattainable = append(unattainable, UnattainableRequest{piece.RequestID, wait, true})
			}
		}
		for k, piece := range p.queue.late {
			wait := time.Duration(lateWaitFactor * float64(len(p.queue.onTime)+k) / rate * float64(time.Second))
			computedAt := now.Add(wait + p.spec.CallTime + after)
			missesDeadline := computedAt.After(piece.Deadline)
			inputsExpire := len(piece.Inputs) > 0 && p.spec.ResultLifetime > 0 && now.Add(wait).After(piece.QueuedAt.Add(p.spec.ResultLifetime))
			isCutShort := piece.isCutShort(computedAt)
			if (missesDeadline || inputsExpire || isCutShort) && !seen[piece.RequestID] {
				seen[piece.RequestID] = true
				unattainable = append(unattainable, UnattainableRequest{piece.RequestID, wait, isCutShort && !missesDeadline && !inputsExpire})
			}
		}
	}
	return unattainable
}

// lateWaitFactor scales the estimated wait of late pieces, because pieces that are
// queued later and can be on time are served before them.
const lateWaitFactor = 1.5

// rate returns the throughput of the pool in pieces per second with full calls.
func (p *pool) rate(now time.Time) float64 {
	perSecond := 0.0
	for _, s := range p.servers {
		if s.isDraining || s.isBlocked(now) {
			continue
		}
		if callTime := s.expectedTime(p.spec, p.spec.MaxPieces, now); callTime > 0 {
			perSecond += float64(p.spec.Slots*p.spec.MaxPieces) / callTime.Seconds()
		}
	}
	return perSecond
}

// TypicalCallTime returns the typical time of a call with some pieces.
func (q Queries) TypicalCallTime(name string, pieces int) time.Duration {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.pools[name]; p != nil {
		return p.spec.typicalTime(pieces)
	}
	return 0
}

// SelectForRelease splits handles into those at stage servers that use at least a share
// of their result memory, whose results are due for release, by address, and the rest.
// Results at servers that want no calls are in the rest. Unknown handles are omitted.
func (q Queries) SelectForRelease(handles []string, share float64, now time.Time) (due map[string][]string, rest []string) {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	due = map[string][]string{}
	for _, h := range handles {
		r, ok := t.results[h]
		if !ok {
			continue
		}
		p := t.pools[r.pool]
		s := p.servers[r.server]
		if now.Before(s.pausedUntil) || float64(s.AllocatedMemory) < share*float64(p.spec.ResultMemoryBytes) {
			rest = append(rest, h)
			continue
		}
		due[r.address] = append(due[r.address], h)
	}
	return due, rest
}

// Servers returns the servers of all pools by pool.
func (q Queries) Servers() map[string][]Endpoint {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	endpoints := map[string][]Endpoint{}
	for name, p := range t.pools {
		for _, s := range p.sortedServers() {
			endpoints[name] = append(endpoints[name], s.Endpoint)
		}
	}
	return endpoints
}

// Pools returns the names of all pools, sorted.
func (q Queries) Pools() []string {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.poolNames)
}

// BelongsToOther reports whether a stage server has returned a handle for another piece
// before.
func (q Queries) BelongsToOther(handle string, piece Identity) bool {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	owner, ok := t.pieces[handle]
	return ok && owner != piece
}

// DataCentre returns the data centre that holds a result, empty if it is unknown.
func (q Queries) DataCentre(handle string) string {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.results[handle]
	if !ok {
		return ""
	}
	return r.dataCentre
}
