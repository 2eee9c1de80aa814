package work

import "context"

// Identity is the key of an attempt.
type Identity struct {
	RequestID string
	Stage     string
	Attempt   uint32
}

// Attempt is what an engine remembers of an attempt, so that a stream can be
// resumed. It is an immutable value.
type Attempt struct {
	Prompt    []byte
	MaxTokens int
	// Produced is how many pieces exist.
	Produced  int
	Cancelled bool
	// stop ends the stream that produces the pieces; ended is closed once it has
	// given its slot back.
	stop  context.CancelCauseFunc
	ended <-chan struct{}
}

// WithProduced returns the attempt with at least some pieces.
func (a Attempt) WithProduced(pieces int) Attempt {
	a.Produced = max(a.Produced, pieces)
	return a
}

// WithCancelled returns the attempt as the caller stopped it.
func (a Attempt) WithCancelled() Attempt {
	a.Cancelled = true
	return a
}

// WithStream returns the attempt with another stream. The function stop ends
// it; the channel is closed once it has given its slot back.
func (a Attempt) WithStream(stop context.CancelCauseFunc, ended <-chan struct{}) Attempt {
	a.stop, a.ended = stop, ended
	return a
}

// Ended is closed once the stream has given its slot back.
func (a Attempt) Ended() <-chan struct{} { return a.ended }
