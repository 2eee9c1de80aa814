// Package engine chooses the model engine for a request. It weighs what an
// engine has cached of the prompt against its load, keeps servers in cold start
// within what they bear, and knows what each engine works on.
package engine

import (
	"maps"
	"slices"
	"time"
)

// Part is a part of a prompt that other requests may share.
type Part struct {
	ID     string `msgpack:"id"`
	Tokens int64  `msgpack:"tokens"`
}

// Prompt is what a request asks a model to read and write.
type Prompt struct {
	Model string `msgpack:"model"`
	// Parts are the parts of the prompt in order.
	Parts []Part `msgpack:"parts"`
	// Input and Output are numbers of tokens; Output is the largest one.
	Input  int64 `msgpack:"input"`
	Output int64 `msgpack:"output"`
}

// Tokens returns the memory that the request may take.
func (p Prompt) Tokens() int64 { return p.Input + p.Output }

// Spec is what a pool declares of its engines.
type Spec struct {
	Pool  string
	Slots int
	// MemoryTokens is the memory of an engine in tokens.
	MemoryTokens int64
	// ColdPerSecond is how many requests a second an engine in cold start bears, 0
	// for no bound.
	ColdPerSecond float64
}

// Place is where an engine is.
type Place struct {
	ID         string
	Address    string
	DataCentre string
	// Born tells incarnations of an engine apart.
	Born int64
}

// run is a request at an engine.
type run struct {
	tokens int64
	// unread is the number of prompt tokens that have to be read before the first
	// event; 0 once it was seen.
	unread int64
}

// Server is what is known of an engine. It is an immutable value.
type Server struct {
	Place
	runs   map[string]run
	cached map[string]time.Time
	// sent are the times of the requests that it got within rateWindow.
	sent         []time.Time
	failures     int
	blockedUntil time.Time
	// delay is the smoothed time to the first event beyond the usual one.
	delay time.Duration
}

const (
	// cacheLife is how long a part counts as cached after its last use.
	cacheLife = 30 * time.Second
	// sourceLife is how long after its last use a part is worth a transfer. Later it
	// is cheaper to read it again.
	sourceLife = 8 * time.Second
	// rateWindow is the window in which the bound of cold engines is counted.
	rateWindow = time.Second
	// An engine that failed is left alone for a time that doubles with each
	// failure in a row.
	minBlock = 250 * time.Millisecond
	maxBlock = 4 * time.Second
	// delayWeight is the weight of a new sample of the delay.
	delayWeight = 0.3
)

func newServer(p Place) Server {
	return Server{Place: p, runs: map[string]run{}, cached: map[string]time.Time{}}
}

// WithRun returns the engine after a request was sent to it.
func (s Server) WithRun(request string, p Prompt, now time.Time) Server {
	s.runs = maps.Clone(s.runs)
	s.runs[request] = run{tokens: p.Tokens(), unread: p.Input - s.match(p, now)}
	s.sent = append(recent(s.sent, now), now)
	return s.WithCached(p, now)
}

// WithCached returns the engine after it read a prompt.
func (s Server) WithCached(p Prompt, now time.Time) Server {
	next := make(map[string]time.Time, len(s.cached)+len(p.Parts))
	for id, at := range s.cached {
		if now.Sub(at) < cacheLife {
			next[id] = at
		}
	}
	for _, part := range p.Parts {
		next[part.ID] = now
	}
	s.cached = next
	return s
}

// WithLearned returns the engine with requests that another chooser sent to it.
func (s Server) WithLearned(learned []Learned, now time.Time) Server {
	s.runs, s.cached = maps.Clone(s.runs), maps.Clone(s.cached)
	for _, l := range learned {
		if l.IsRunning {
			s.runs[l.Request] = run{tokens: l.Prompt.Tokens()}
		}
		for _, part := range l.Prompt.Parts {
			s.cached[part.ID] = now
		}
	}
	return s
}

// WithStarted returns the engine after the first event of a request, which took
// a time from the send.
func (s Server) WithStarted(request string, took time.Duration) Server {
	r, ok := s.runs[request]
	if !ok {
		return s
	}
	usual := readTime(r.unread) + firstEventTime
	s.delay += time.Duration(delayWeight * float64(max(0, took-usual)-s.delay))
	r.unread = 0
	s.runs = maps.Clone(s.runs)
	s.runs[request] = r
	s.failures = 0
	return s
}

// WithoutRun returns the engine after a request has ended there.
func (s Server) WithoutRun(request string) Server {
	if _, ok := s.runs[request]; !ok {
		return s
	}
	s.runs = maps.Clone(s.runs)
	delete(s.runs, request)
	return s
}

// WithFailure returns the engine after it failed a request.
func (s Server) WithFailure(now time.Time) Server {
	s.blockedUntil = now.Add(min(maxBlock, minBlock<<min(s.failures, 8)))
	s.failures++
	return s
}

// WithBlock returns the engine left alone until a time at least.
func (s Server) WithBlock(until time.Time) Server {
	if s.blockedUntil.Before(until) {
		s.blockedUntil = until
	}
	return s
}

// WithEmptied returns the engine after it has lost its memory.
func (s Server) WithEmptied() Server {
	s.cached = map[string]time.Time{}
	return s
}

func recent(sent []time.Time, now time.Time) []time.Time {
	i := slices.IndexFunc(sent, func(at time.Time) bool { return now.Sub(at) < rateWindow })
	if i < 0 {
		return nil
	}
	return slices.Clone(sent[i:])
}

// match returns the number of leading prompt tokens that the engine has cached.
func (s Server) match(p Prompt, now time.Time) int64 { return s.matchWithin(p, cacheLife, now) }

// matchWithin counts only parts that were used within a time.
func (s Server) matchWithin(p Prompt, life time.Duration, now time.Time) int64 {
	tokens := int64(0)
	for _, part := range p.Parts {
		at, ok := s.cached[part.ID]
		if !ok || now.Sub(at) >= life {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}
