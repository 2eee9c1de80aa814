// Package route holds the operators' configuration of the platform: the pool that
// serves a request, its limits, and the workspace that a key belongs to. A
// configuration is an immutable value; the table replaces it as a whole.
package route

import (
	"slices"
	"strings"
	"time"
)

// Kind determines how often a request of a route may run.
type Kind int

// The kinds of routes.
const (
	// Once is for requests that run at most once for each attempt of a client.
	Once Kind = iota
	// Idempotent is for requests that may run more than once.
	Idempotent
	// Stream is for answers that are a series of events. A stream runs at most once
	// unless its route is resumable.
	Stream
)

// Target is a pool that receives a share of a route's requests.
type Target struct {
	Pool string
	// Weight is the share relative to the other targets.
	Weight int
}

// Stage is a step of preparation that must be completed before a request can run.
type Stage struct {
	Pool string
	// DependsOn lists the indexes of the stages whose results this stage needs.
	DependsOn []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
}

// Route describes how requests for a host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Targets is never empty.
	Targets []Target
	Stages  []Stage
	// Timeout is the longest time until a request is answered, 0 for no limit.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event, within which a
	// request counts as on time.
	Objective time.Duration
	// MaxEventGap is the longest pause between two events at which a stream counts as on
	// time, 0 if none is configured.
	MaxEventGap time.Duration
	// Rank is the priority class; 0 is served first.
	Rank int
	// MaxServers is the largest number of backend servers that one attempt of a
	// client may be sent to, at least 1.
	MaxServers int
	// IsAnonymous is set if requests need no key.
	IsAnonymous bool
	// IsResumable is set if a stream may resume at another backend server after it
	// has sent events.
	IsResumable bool
}

// IsRepeatable reports whether a request of the route may run more than once.
func (r Route) IsRepeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.IsResumable
}

// Pool returns the pool that serves a request. The same hash selects the same pool
// as long as the targets are unchanged.
func (r Route) Pool(hash uint64) string {
	total := uint64(0)
	for _, t := range r.Targets {
		total += uint64(max(0, t.Weight))
	}
	if total == 0 {
		return r.Targets[0].Pool
	}
	at := hash % total
	for _, t := range r.Targets {
		w := uint64(max(0, t.Weight))
		if at < w {
			return t.Pool
		}
		at -= w
	}
	return r.Targets[0].Pool
}

// Engine holds the configured capacity of the servers of a pool of model engines.
type Engine struct {
	// Slots is the number of requests that a server runs at once.
	Slots int
	// MemoryTokens is the number of tokens that fit in the KV cache of a server.
	MemoryTokens int64
}

// Batch holds the configured capacity of the servers of a pool that computes stage
// results in batches.
type Batch struct {
	// Slots is the number of calls that a server works on at once.
	Slots int
	// MaxPieces is the largest number of pieces in a call.
	MaxPieces int
	// CallTime is the fixed time of a call, PieceTime the additional time of each
	// piece in it.
	CallTime  time.Duration
	PieceTime time.Duration
	// ResultMemoryBytes is the memory of a server for results, ResultLifetime the
	// time for which it keeps them.
	ResultMemoryBytes int64
	ResultLifetime    time.Duration
}

// Pool is a set of backend servers that do the same work.
type Pool struct {
	Name string
	// ColdRequestsPerSecond is the largest number of requests per second for a server in
	// cold start, which lasts after a start for as long as the server reports; 0 if the
	// pool's servers have no cold start.
	ColdRequestsPerSecond float64
	// ColdTime is how long a cold start takes, 0 if the pool's servers have none.
	ColdTime time.Duration
	// Engine and Batch are nil for pools of other kinds.
	Engine *Engine
	Batch  *Batch
}

// Workspace is a customer, identified by its keys.
type Workspace struct {
	Name string
	Keys []string
	// Rank overrides the rank of the route if HasRank is set.
	Rank    int
	HasRank bool
}

// Limits holds the limits of what a client may send.
type Limits struct {
	// MaxBodyBytes is the largest size of a request body.
	MaxBodyBytes int64
}

// Configuration is a version of the operators' configuration. It is an immutable
// value.
type Configuration struct {
	// Version increases with each configuration; 0 means that none is known.
	Version int64
	Limits  Limits

	routes     map[string][]Route
	pools      map[string]Pool
	workspaces map[string]Workspace
	// hasWorkspaces is set if requests need a key, except on anonymous routes.
	hasWorkspaces bool
}

// NewConfiguration returns a configuration with the given parts.
func NewConfiguration(version int64, limits Limits, routes []Route, pools []Pool, workspaces []Workspace) Configuration {
	configuration := Configuration{
		Version:       version,
		Limits:        limits,
		routes:        map[string][]Route{},
		pools:         make(map[string]Pool, len(pools)),
		workspaces:    map[string]Workspace{},
		hasWorkspaces: len(workspaces) > 0,
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		configuration.routes[host] = append(configuration.routes[host], r)
	}
	for _, rs := range configuration.routes {
		slices.SortStableFunc(rs, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, p := range pools {
		configuration.pools[p.Name] = p
	}
	for _, w := range workspaces {
		for _, k := range w.Keys {
			configuration.workspaces[k] = w
		}
	}
	return configuration
}

// Match returns the route with the longest prefix of a path.
func (c Configuration) Match(host, path string) (Route, bool) {
	for _, r := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// HasRoute reports whether there is a route with a name.
func (c Configuration) HasRoute(name string) bool {
	for _, rs := range c.routes {
		if slices.ContainsFunc(rs, func(r Route) bool { return r.Name == name }) {
			return true
		}
	}
	return false
}

// Pool returns a pool by its name.
func (c Configuration) Pool(name string) (Pool, bool) {
	p, ok := c.pools[name]
	return p, ok
}

// Pools returns all pools, sorted by name.
func (c Configuration) Pools() []Pool {
	pools := make([]Pool, 0, len(c.pools))
	for _, p := range c.pools {
		pools = append(pools, p)
	}
	slices.SortFunc(pools, func(a, b Pool) int { return strings.Compare(a.Name, b.Name) })
	return pools
}

// NeedsKey reports whether a request of a route needs a key.
func (c Configuration) NeedsKey(r Route) bool { return c.hasWorkspaces && !r.IsAnonymous }

// Workspace returns the workspace that holds a key.
func (c Configuration) Workspace(key string) (Workspace, bool) {
	w, ok := c.workspaces[key]
	return w, ok
}
