package ownership

import "time"

// WarmShare is the share of their limits up to which warm servers may be used.
type WarmShare int

// The shares of the limits of warm servers.
const (
	WarmNone WarmShare = iota
	WarmHalf
	WarmFull
)

// String returns the name of the share.
func (w WarmShare) String() string {
	switch w {
	case WarmHalf:
		return "half"
	case WarmFull:
		return "full"
	}
	return "none"
}

// Permission is what an instance may dispatch for a pool at a given time.
type Permission struct {
	// Cold allows calls to cold servers.
	Cold      bool
	WarmShare WarmShare
}

// ownTerm is a term that this instance owns, with its lease: the permission to
// dispatch to cold servers until coldUntil. It remains after the lease has expired.
// It is an immutable value.
type ownTerm struct {
	term uint64
	// coldUntil is when the lease expires unless renewed.
	coldUntil time.Time
	// waitUntil is when the calls of former owners have reached their deadlines;
	// zero if none can be running.
	waitUntil time.Time
}

// withColdUntil returns the term with a later expiry of its lease; an earlier one is
// ignored.
func (o ownTerm) withColdUntil(expiry time.Time) ownTerm {
	if expiry.After(o.coldUntil) {
		o.coldUntil = expiry
	}
	return o
}

func (o ownTerm) permission(now time.Time) Permission {
	if now.Before(o.waitUntil) {
		return Permission{WarmShare: WarmHalf}
	}
	return Permission{Cold: now.Before(o.coldUntil), WarmShare: WarmFull}
}
