package cell

import "time"

const (
	// settleTime is how long an instance follows each change of the division after its
	// start, while its lists of instances and servers are still incomplete.
	settleTime = 10 * time.Second
	// divideDelay is how long a site must have had enough instances and servers before it
	// is divided. During a release, new servers are listed beside the ones that they
	// replace, and a divided site stays divided with far fewer servers.
	divideDelay = 10 * time.Second
)

// Transition is the layout in force at an instance, with a division that is not in force
// yet. It is an immutable value. The zero value is a site of one cell.
type Transition struct {
	// Layout is the layout in force.
	Layout Layout
	// proposed is the division that was computed last. Each layout since proposedAt was
	// divided. It is the zero value if the last one was not, or is in force.
	proposed   Layout
	proposedAt time.Time
}

// WithProposal returns the transition after a layout was computed at a time by an instance
// that runs for the given time. A layout comes into force at once, except that an
// undivided site is divided only after divideDelay.
func (t Transition) WithProposal(next Layout, runningFor time.Duration, now time.Time) Transition {
	if t.Layout.IsDivided() || !next.IsDivided() || runningFor < settleTime {
		return Transition{Layout: next}
	}
	if !t.proposed.IsDivided() {
		t.proposedAt = now
	}
	t.proposed = next
	if now.Sub(t.proposedAt) >= divideDelay {
		return Transition{Layout: next}
	}
	return t
}
