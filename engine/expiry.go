package engine

import "time"

const (
	// defaultLifetime is how long a request without a known end counts at its engine.
	defaultLifetime = 30 * time.Second
	// sweepInterval is the interval between two sweeps of a pool.
	sweepInterval = time.Second
)

// placement identifies a request at an engine.
type placement struct{ engine, request string }

// expect records when a request has ended at the latest.
func (p *pool) expect(engine, request string, until, now time.Time) {
	if until.IsZero() {
		until = now.Add(defaultLifetime)
	}
	p.until[placement{engine, request}] = until
}

// sweep removes the requests whose time is over. The notice of their end was lost, or the
// instance that would have sent it has stopped; without this, the engine would never have
// that memory again.
func (p *pool) sweep(now time.Time) {
	if now.Sub(p.sweptAt) < sweepInterval {
		return
	}
	p.sweptAt = now
	for k, until := range p.until {
		s := p.servers[k.engine]
		if _, ok := s.requests[k.request]; !ok {
			delete(p.until, k)
			continue
		}
		if now.Before(until) {
			continue
		}
		delete(p.until, k)
		p.servers[k.engine] = s.WithoutRequest(k.request)
		p.shortage = memoryShortage{}
	}
}
