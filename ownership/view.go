package ownership

import (
	"maps"
	"slices"
	"time"
)

// view is everything that readers of a table need. It is an immutable value.
type view struct {
	state State
	// seen holds, by position in the state, when the last record that shows a
	// life sign of an owner was received.
	seen []time.Time
	// since is when this instance began to receive the stream.
	since time.Time
	// progress is when the last record was received.
	progress time.Time
	// heard is when the log last answered this instance, zero if that is not
	// reported, and listening since when it has answered without a long gap.
	heard     time.Time
	listening time.Time
	// own holds the terms of this instance by pool.
	own map[string]lease
	// standIns holds the pools that this instance serves for their owners.
	standIns map[string]bool
	// left tells that this instance has given up everything for good.
	left bool
}

// newView returns the view of an instance that begins to receive the stream.
func newView(s State, at time.Time) view {
	return view{state: s, since: at, progress: at, own: map[string]lease{}}
}

// lastSign returns when a life sign of an owner was last received, at the
// earliest the moment when this instance began to receive the stream.
func (v *view) lastSign(k Key) time.Time {
	if n, ok := v.state.index[k]; ok && n < len(v.seen) && v.seen[n].After(v.since) {
		return v.seen[n]
	}
	return v.since
}

// withHeard returns the view after the log has answered.
func (v view) withHeard(at time.Time, gap time.Duration) view {
	if at.Sub(v.heard) > gap {
		v.listening = at
	}
	v.heard = at
	return v
}

// hearsLog reports whether the log has answered lately, or whether that is not
// reported.
func (v *view) hearsLog(now time.Time, gap time.Duration) bool {
	return v.heard.IsZero() || now.Sub(v.heard) <= gap
}

// withState returns the view after a record was received.
func (v view) withState(s State, at time.Time) view {
	v.state, v.progress = s, at
	return v
}

// withSign returns the view after a life sign of the owners of pools.
func (v view) withSign(signs []Key, at time.Time) view {
	if len(signs) == 0 {
		return v
	}
	seen := make([]time.Time, len(v.state.terms))
	copy(seen, v.seen)
	for _, k := range signs {
		seen[v.state.index[k]] = at
	}
	v.seen = seen
	return v
}

func (v view) withOwn(pool string, l lease) view {
	own := maps.Clone(v.own)
	if own == nil {
		own = map[string]lease{}
	}
	own[pool] = l
	v.own = own
	return v
}

func (v view) withoutOwn(pools ...string) view {
	v.own = maps.Clone(v.own)
	for _, p := range pools {
		delete(v.own, p)
	}
	return v
}

func (v view) withStandIns(standIns map[string]bool) view {
	v.standIns = standIns
	return v
}

func (v view) withLeft() view {
	v.left = true
	return v
}

// ownPools returns the pools of this instance's terms in alphabetical order.
func (v *view) ownPools() []string {
	return slices.Sorted(maps.Keys(v.own))
}

// isNew reports whether a pool never had an owner for certain.
func (v *view) isNew(term Term) bool { return v.state.IsWhole() && term.Touched == 0 }

// leaseEnd returns the latest end of the leases of this instance.
func (v *view) leaseEnd() time.Time {
	var end time.Time
	for _, l := range v.own {
		if l.end.After(end) {
			end = l.end
		}
	}
	return end
}

// isLapsed reports whether this instance has terms and all its leases are over.
func (v *view) isLapsed(now time.Time) bool {
	return len(v.own) > 0 && !now.Before(v.leaseEnd())
}
