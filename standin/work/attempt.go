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
	// stop ends the stream that produces the pieces.
	stop context.CancelCauseFunc
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

// WithStop returns the attempt with the end of its stream.
func (a Attempt) WithStop(stop context.CancelCauseFunc) Attempt {
	a.stop = stop
	return a
}
