// Package member keeps the list of known instances that the daemon of package instance
// uses. Its sources are the platform's list, which lags, and direct contact over peer
// connections. Package membership, which is separate, serves the instances of package
// entry: there the instances exchange heartbeats and choose a coordinator.
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
	// IsLeaving is true while the instance shuts down and accepts no new work.
	IsLeaving bool
	// IsReachable is false if the last direct call to the instance failed.
	IsReachable bool
}

// WithLeaving returns the instance with a new value of IsLeaving.
func (i Instance) WithLeaving(leaving bool) Instance {
	i.IsLeaving = leaving
	return i
}

// WithReachable returns the instance with a new value of IsReachable.
func (i Instance) WithReachable(reachable bool) Instance {
	i.IsReachable = reachable
	return i
}

// IsCandidate reports whether the instance may be given new work: it is
// reachable and not leaving.
func (i Instance) IsCandidate() bool { return i.IsReachable && !i.IsLeaving }
