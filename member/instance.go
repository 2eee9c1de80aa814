// Package member keeps the instances of the system that are known, from the
// platform's lagging list and from direct evidence of peer connections.
package member

// Instance is an instance of the system. It is an immutable value.
type Instance struct {
	Name string
	// Incarnation differs between two processes that run under the same name.
	Incarnation string
	DataCentre  string
	// Address is where callers connect, as IP:port.
	Address string
	// PeerAddress is where other instances connect, as IP:port.
	PeerAddress string
	// Leaving tells that the instance shuts down and takes no new work.
	Leaving bool
	// Reachable is false after direct evidence that a peer call failed.
	Reachable bool
}

// WithLeaving returns the instance with its leaving mark.
func (i Instance) WithLeaving(leaving bool) Instance {
	i.Leaving = leaving
	return i
}

// WithReachable returns the instance with the result of the last direct contact.
func (i Instance) WithReachable(reachable bool) Instance {
	i.Reachable = reachable
	return i
}

// IsCandidate reports whether the instance may be given new work: it is
// reachable and not leaving.
func (i Instance) IsCandidate() bool { return i.Reachable && !i.Leaving }
