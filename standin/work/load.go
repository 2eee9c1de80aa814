package work

import "time"

// Load is what a server is doing at a moment. It is an immutable value.
type Load struct {
	Running int
	// ColdFor is how many more requests must succeed until the server is warm.
	ColdFor int
	Leaving bool
	At      time.Time
}

// Cold reports whether the server is in cold start.
func (l Load) Cold() bool { return l.ColdFor > 0 }

// WithCold returns the load of a server that is warm after some more requests.
func (l Load) WithCold(requests int) Load {
	l.ColdFor = requests
	return l
}

// WithRunning returns the load with some requests more, or fewer.
func (l Load) WithRunning(more int) Load {
	l.Running += more
	return l
}

// WithSuccess returns the load after a request has succeeded.
func (l Load) WithSuccess() Load {
	l.ColdFor = max(0, l.ColdFor-1)
	return l
}

// WithLeaving returns the load of a server that leaves, or stays.
func (l Load) WithLeaving(leaving bool) Load {
	l.Leaving = leaving
	return l
}
