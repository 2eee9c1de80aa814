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
	// Cold allows calls to servers in cold start.
	Cold      bool
	WarmShare WarmShare
}

// lease is a term of this instance. It is an immutable value.
type lease struct {
	term uint64
	// coldUntil is when the permission for cold servers expires unless renewed.
	coldUntil time.Time
	// waitUntil is when the calls of former owners have reached their deadlines;
	// zero if none can be running.
	waitUntil time.Time
}

// withColdUntil returns the lease with a later expiry; an earlier one is ignored.
func (l lease) withColdUntil(expiry time.Time) lease {
	if expiry.After(l.coldUntil) {
		l.coldUntil = expiry
	}
	return l
}

func (l lease) permission(now time.Time) Permission {
	if now.Before(l.waitUntil) {
		return Permission{WarmShare: WarmHalf}
	}
	return Permission{Cold: now.Before(l.coldUntil), WarmShare: WarmFull}
}
