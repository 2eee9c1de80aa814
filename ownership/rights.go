package ownership

import "time"

// Warm tells how much of their limits warm servers may be given.
type Warm int

// The rights to warm servers.
const (
	WarmNone Warm = iota
	WarmHalf
	WarmFull
)

// String returns the name of the right.
func (w Warm) String() string {
	switch w {
	case WarmHalf:
		return "half"
	case WarmFull:
		return "full"
	}
	return "none"
}

// Rights tells what an instance may dispatch for a pool at a moment.
type Rights struct {
	// Cold allows calls to servers in cold start.
	Cold bool
	Warm Warm
}

// lease is a term of this instance. It is an immutable value.
type lease struct {
	term uint64
	// end is when the right to cold servers ends unless it is renewed.
	end time.Time
	// from is when work of former owners has ended; zero after a settled release.
	from time.Time
}

// withEnd returns the lease with a later end; an earlier one changes nothing.
func (l lease) withEnd(end time.Time) lease {
	if end.After(l.end) {
		l.end = end
	}
	return l
}

func (l lease) rights(now time.Time) Rights {
	if now.Before(l.from) {
		return Rights{Warm: WarmHalf}
	}
	return Rights{Cold: now.Before(l.end), Warm: WarmFull}
}
