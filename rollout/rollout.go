// Package rollout moves the requests of a pool to servers of a new version, as operators
// order it, and decides from the responses whether the version is good.
//
// An order names a pool, a version and a duration. The new version first gets a small
// share of the requests. If its responses are clearly worse than those of the old version
// over the same time, it is rolled back; otherwise all requests go to it shortly before the
// deadline, and it has succeeded. The leader decides (see package membership); every place
// that chooses servers enforces the share by itself.
package rollout

import (
	"slices"
	"time"

	"lycheecrank.example/feed"
)

// Bounds are the limits that operators set for rollouts. With the zero value, no rollouts
// are expected, and the package restricts nothing.
type Bounds struct {
	// ExposureShare is the part of the requests to a pool between an order and its
	// deadline that a bad version may get, ExposureSlack the number of requests that it
	// may get in addition.
	ExposureShare float64
	ExposureSlack float64
	// RollbackTime is how long after its 50th bad response a bad version may get requests.
	RollbackTime time.Duration
}

// IsEnabled reports whether rollouts are expected.
func (b Bounds) IsEnabled() bool {
	return b.ExposureShare > 0 || b.ExposureSlack > 0 || b.RollbackTime > 0
}

// Order is an operator's request to move a pool to another version. It is an immutable
// value.
type Order struct {
	Pool     string
	To       string
	Duration time.Duration
	// Era and Offset are the position of the record in the operators' stream. It identifies
	// the order.
	Era    uint64
	Offset uint64
}

// Position returns the position of the order.
func (o Order) Position() feed.Position { return feed.Position{Era: o.Era, Offset: o.Offset} }

// isSameAs reports whether the order is another one that the operator has written again, as
// the store had lost it or has come back with an older record of it.
func (o Order) isSameAs(earlier Order) bool {
	return o.Era > earlier.Era && o.To == earlier.To && o.Duration == earlier.Duration
}

// Phase is the phase of a rollout. Phases only move forward.
type Phase int

// Phases of a rollout, in the order in which a later one replaces an earlier one. An
// instance may roll back before the store has the decision, but a success counts only
// once the store has it, so that Succeeded replaces RolledBack.
const (
	// Pending: the order is known, and the leader hasn't started it.
	Pending Phase = iota
	// Running: the new version gets a share of the requests.
	Running
	// Shifted: all requests go to the new version, and it may still be rolled back.
	Shifted
	// RolledBack: the new version gets nothing.
	RolledBack
	// Succeeded: the old version gets nothing.
	Succeeded
)

var phaseNames = []string{"pending", "running", "shifted", "rolledBack", "succeeded"}

// String returns the name of the phase in logs and metrics.
func (p Phase) String() string {
	if p < 0 || int(p) >= len(phaseNames) {
		return "unknown"
	}
	return phaseNames[p]
}

// IsFinal reports whether the rollout has ended.
func (p Phase) IsFinal() bool { return p >= RolledBack }

// State is the state of a rollout. It is an immutable value, which instances send each
// other and the leader keeps in the store.
type State struct {
	Pool string `msgpack:"pool"`
	// Era and Offset are the position of the order.
	Era    uint64 `msgpack:"era,omitempty"`
	Offset uint64 `msgpack:"offset"`
	To     string `msgpack:"to"`
	// From is the version that the pool had before the order, empty if that isn't known.
	From  string `msgpack:"from,omitempty"`
	Phase Phase  `msgpack:"phase"`
	// Step is the index of the share in shareSteps.
	Step int `msgpack:"step,omitempty"`
	// Spread is the least number of servers of the new version that get requests.
	Spread int `msgpack:"spread,omitempty"`
	// DurationMs is the duration of the order, StartedUnixMilli when the leader started
	// it. ElapsedMs is the time since the order in a message, 0 in the store.
	DurationMs       int64  `msgpack:"duration"`
	StartedUnixMilli int64  `msgpack:"started"`
	ElapsedMs        int64  `msgpack:"elapsed,omitempty"`
	Reason           string `msgpack:"reason,omitempty"`
	// Rejected are the versions of earlier orders for the pool that have not succeeded.
	Rejected []string `msgpack:"rejected,omitempty"`
}

// Position returns the position of the order.
func (s State) Position() feed.Position { return feed.Position{Era: s.Era, Offset: s.Offset} }

// WithPosition returns the state with another position of the order, which the operator has
// written again.
func (s State) WithPosition(at feed.Position) State {
	s.Era, s.Offset = at.Era, at.Offset
	return s
}

// Duration returns the duration of the order.
func (s State) Duration() time.Duration { return time.Duration(s.DurationMs) * time.Millisecond }

// isNewer reports whether the state replaces another one of its pool.
func (s State) isNewer(other State) bool {
	switch {
	case s.Position() != other.Position():
		return s.Position().Compare(other.Position()) > 0
	case s.Phase != other.Phase:
		return s.Phase > other.Phase
	case s.Step != other.Step:
		return s.Step > other.Step
	}
	return s.Spread > other.Spread
}

// WithPhase returns the state in a later phase.
func (s State) WithPhase(phase Phase, reason string) State {
	s.Phase, s.Reason = phase, reason
	return s
}

// WithStep returns the state with the next larger share.
func (s State) WithStep(reason string) State {
	s.Step++
	s.Reason = reason
	return s
}

// WithSpread returns the state with more servers of the new version in use.
func (s State) WithSpread(spread int, reason string) State {
	s.Spread, s.Reason = spread, reason
	return s
}

// start returns the first state of an order that replaces an earlier state of its pool, which
// has a current version.
func start(order Order, earlier State, current string, now time.Time) State {
	state := State{
		Pool: order.Pool, Era: order.Era, Offset: order.Offset, To: order.To, From: current, Phase: Running, DurationMs: order.Duration.Milliseconds(),
		StartedUnixMilli: now.UnixMilli(), Reason: "ordered",
	}
	rejected := slices.Clone(earlier.Rejected)
	if earlier.To != "" && earlier.Phase != Succeeded {
		rejected = append(rejected, earlier.To)
	}
	slices.Sort(rejected)
	state.Rejected = slices.DeleteFunc(slices.Compact(rejected), func(version string) bool { return version == order.To })
	return state
}
