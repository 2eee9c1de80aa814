// Package engine chooses the model engine for a request. It weighs what an engine has
// cached of the prompt against its load, keeps engines in cold start within their
// request rate, and tracks the requests of each engine.
package engine

import (
	"maps"
	"slices"
	"time"

	"lycheecrank.example/speed"
)

// Part is a part of a prompt that other requests may share.
type Part struct {
	ID     string `msgpack:"id"`
	Tokens int64  `msgpack:"tokens"`
}

// Prompt describes the input and the output of a model for a request.
type Prompt struct {
	Model string `msgpack:"model"`
	// Parts are the parts of the prompt in order, at most MaxParts: those of a longer
	// prompt after these aren't known here.
	Parts []Part `msgpack:"parts"`
	// InputTokens is the number of prompt tokens, MaxOutputTokens the largest number of
	// output tokens.
	InputTokens     int64 `msgpack:"input"`
	MaxOutputTokens int64 `msgpack:"output"`
}

// MaxParts bounds the parts of a prompt. Clients may send some thousand in a head of legal
// size, which would be copied with each message about the request.
const MaxParts = 256

// maxCount bounds the token counts that clients state, so that sums don't overflow.
const maxCount = 1 << 40

func clampCount(tokens int64) int64 { return min(maxCount, max(0, tokens)) }

// WithinMemory returns the prompt with the largest number of output tokens that fits in a
// memory. Clients may declare more than their answers ever have.
func (p Prompt) WithinMemory(tokens int64) Prompt {
	p.MaxOutputTokens = min(p.MaxOutputTokens, max(0, tokens-clampCount(p.InputTokens)))
	return p
}

// MaxTokens returns the memory that the request may use, in tokens.
func (p Prompt) MaxTokens() int64 { return clampCount(p.InputTokens) + clampCount(p.MaxOutputTokens) }

// PartIDs returns the IDs of the parts in order.
func (p Prompt) PartIDs() []string {
	ids := make([]string, 0, len(p.Parts))
	for _, part := range p.Parts {
		ids = append(ids, part.ID)
	}
	return ids
}

// SharedParts returns the IDs of the parts that other requests may share: all but the
// last one, which belongs to the request or its session.
func (p Prompt) SharedParts() []string {
	ids := p.PartIDs()
	return ids[:max(0, len(ids)-1)]
}

// Spec describes the engines of a pool.
type Spec struct {
	Pool  string
	Slots int
	// MemoryTokens is the memory of an engine in tokens.
	MemoryTokens int64
	// ColdRequestsPerSecond is the request rate that an engine in cold start sustains,
	// 0 for no limit.
	ColdRequestsPerSecond float64
}

// Endpoint identifies an engine and its location.
type Endpoint struct {
	ID         string
	Address    string
	DataCentre string
	// StartedUnixMilli is the start time of the process, which distinguishes an engine
	// from the same one before a restart.
	StartedUnixMilli int64
}

// activeRequest is a request at an engine.
type activeRequest struct {
	tokens int64
	// pendingPrefill is the number of prompt tokens that have to be prefilled before
	// the first event, 0 after that event.
	pendingPrefill int64
}

// Server is the state of an engine. It is an immutable value.
type Server struct {
	Endpoint
	requests map[string]activeRequest
	// heldTokens and pendingPrefill are the sums over the requests.
	heldTokens     int64
	pendingPrefill int64
	// sentPrefill is the number of tokens to prefill of all requests that were ever sent.
	sentPrefill int64
	// awaited are the requests that this coordinator has sent and that have no first event
	// yet.
	awaited []awaitedRequest
	speed   measuredSpeed
	// reported is the slowness that the engine reports. The measured speed is that of the
	// usual slowness.
	reported speed.Estimate
	cached   map[string]time.Time
	// sentAt are the times at which the engine got requests within rateWindow.
	sentAt       []time.Time
	failures     int
	blockedUntil time.Time
	// excessDelay is the smoothed time to the first event beyond the estimate with the
	// measured prefill speed, as of delayedAt.
	excessDelay time.Duration
	delayedAt   time.Time
}

const (
	// cacheLifetime is how long a part counts as cached after its last use.
	cacheLifetime = 30 * time.Second
	// maxCachedParts bounds the parts that count as cached at an engine.
	maxCachedParts = 4096
	// transferLifetime is how long after its last use a part is worth a transfer. Later
	// it is cheaper to prefill it again.
	transferLifetime = 8 * time.Second
	// rateWindow is the window of the rate limit of cold engines.
	rateWindow = time.Second
	// A failed engine gets no requests for a time that doubles with each consecutive
	// failure.
	minBlock = 250 * time.Millisecond
	maxBlock = 4 * time.Second
	// delayWeight is the weight of a new sample of the delay, delayHalfLife the time in
	// which the delay loses half of its value without one. An engine that is avoided for
	// its delay gives no sample that shows its end.
	delayWeight   = 0.3
	delayHalfLife = 5 * time.Second
)

func newServer(p Endpoint) Server {
	return Server{Endpoint: p, requests: map[string]activeRequest{}, cached: map[string]time.Time{}}
}

// withActive returns the engine with a new or changed request.
func (s Server) withActive(request string, r activeRequest) Server {
	old := s.requests[request]
	s.requests = maps.Clone(s.requests)
	s.requests[request] = r
	s.heldTokens += r.tokens - old.tokens
	s.pendingPrefill += r.pendingPrefill - old.pendingPrefill
	return s
}

// WithRequest returns the engine after a request was sent to it. The parameter
// isTransferred is set if the engine fetches a part of the prompt from another engine.
func (s Server) WithRequest(request string, p Prompt, n Requirements, isTransferred bool, now time.Time) Server {
	r := activeRequest{tokens: p.MaxTokens(), pendingPrefill: clampCount(clampCount(p.InputTokens) - s.cachedTokens(p, now))}
	s.awaited = append(slices.Clip(s.awaited), awaitedRequest{
		id: request, own: r.pendingPrefill, ahead: s.pendingPrefill, sentBefore: s.sentPrefill,
		baseDelay:     minFirstEventTime + time.Duration(len(s.requests))*requestCost + s.fetchCost(n),
		isTransferred: isTransferred,
	})
	s = s.withActive(request, r)
	s.sentPrefill += r.pendingPrefill
	s.sentAt = append(withinRateWindow(s.sentAt, now), now)
	return s.WithCached(p, now)
}

// WithCached returns the engine with the parts of a prompt cached.
func (s Server) WithCached(p Prompt, now time.Time) Server {
	next := make(map[string]time.Time, len(s.cached)+len(p.Parts))
	for id, at := range s.cached {
		if now.Sub(at) < cacheLifetime {
			next[id] = at
		}
	}
	for _, part := range p.Parts {
		next[part.ID] = now
	}
	evictOldest(next, maxCachedParts, lastUse)
	s.cached = next
	return s
}

// WithRestored returns the engine with requests that another coordinator placed there.
func (s Server) WithRestored(requests []PlacedRequest, now time.Time) Server {
	s.requests, s.cached = maps.Clone(s.requests), maps.Clone(s.cached)
	for _, l := range requests {
		if l.IsRunning {
			old := s.requests[l.RequestID]
			s.requests[l.RequestID] = activeRequest{tokens: l.Prompt.MaxTokens()}
			s.heldTokens += l.Prompt.MaxTokens() - old.tokens
			s.pendingPrefill -= old.pendingPrefill
		}
		for _, part := range l.Prompt.Parts {
			s.cached[part.ID] = now
		}
	}
	evictOldest(s.cached, maxCachedParts, lastUse)
	return s
}

// WithFirstEvent returns the engine after the first event of a request, which came a
// given time after the request was sent.
func (s Server) WithFirstEvent(request string, took time.Duration, ofPool float64, now time.Time) Server {
	r, ok := s.requests[request]
	if !ok {
		return s
	}
	if awaited, ok := s.awaitedRequest(request); ok {
		excess := s.currentExcess(now)
		before := awaited.estimate(s.prefillSpeed(ofPool, now))
		if sample, ok := s.speedSample(request, took, now); ok {
			s.speed = s.speed.withSample(sample, now)
		}
		estimate := awaited.estimate(s.prefillSpeed(ofPool, now))
		// A delay that the speed accounts for from now on is no excess any more.
		excess = max(0, excess-max(0, estimate-before))
		s.excessDelay = excess + time.Duration(delayWeight*float64(max(0, took-estimate)-excess))
		s.delayedAt = now
	}
	r.pendingPrefill = 0
	s = s.withActive(request, r).withoutAwaited(request)
	s.failures = 0
	return s
}

// WithoutRequest returns the engine after a request has ended there.
func (s Server) WithoutRequest(request string) Server {
	r, ok := s.requests[request]
	if !ok {
		return s
	}
	s.requests = maps.Clone(s.requests)
	delete(s.requests, request)
	s.heldTokens -= r.tokens
	s.pendingPrefill -= r.pendingPrefill
	return s.withoutAwaited(request)
}

// WithLoad returns the engine after a response with its load was received at a time.
func (s Server) WithLoad(load speed.Report, at time.Time) Server {
	s.reported = s.reported.WithReport(load, at)
	return s
}

// WithFailure returns the engine after it failed a request.
func (s Server) WithFailure(now time.Time) Server {
	s.blockedUntil = now.Add(min(maxBlock, minBlock<<min(s.failures, 8)))
	s.failures++
	return s
}

// WithBlock returns the engine blocked at least until a time.
func (s Server) WithBlock(until time.Time) Server {
	if s.blockedUntil.Before(until) {
		s.blockedUntil = until
	}
	return s
}

// WithoutCache returns the engine after a restart, which has emptied its cache. The
// prefill speed of the new process is unknown.
func (s Server) WithoutCache() Server {
	s.cached, s.speed, s.reported = map[string]time.Time{}, measuredSpeed{}, speed.Estimate{}
	return s
}

func withinRateWindow(sent []time.Time, now time.Time) []time.Time {
	i := slices.IndexFunc(sent, func(at time.Time) bool { return now.Sub(at) < rateWindow })
	if i < 0 {
		return nil
	}
	return slices.Clone(sent[i:])
}

// cachedTokens returns the number of leading prompt tokens that the engine has cached.
func (s Server) cachedTokens(p Prompt, now time.Time) int64 {
	return s.cachedTokensWithin(p, cacheLifetime, now)
}

// cachedTokensWithin counts only parts that were used within a lifetime.
func (s Server) cachedTokensWithin(p Prompt, lifetime time.Duration, now time.Time) int64 {
	tokens := int64(0)
	for _, part := range p.Parts {
		at, ok := s.cached[part.ID]
		if !ok || now.Sub(at) >= lifetime {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}
