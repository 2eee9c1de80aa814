// Package fault holds the fault that a stand-in obeys and hands it out call by
// call.
package fault

import "time"

// Fault says how a stand-in misbehaves. The zero value is no fault.
type Fault struct {
	// Method limits the fault to one RPC by its name; empty means all.
	Method string
	// Remaining is how many calls have the fault; 0 means all.
	Remaining uint32
	// Delay holds each call for some time before it takes effect.
	Delay time.Duration
	// Fail answers with an error before the call takes effect.
	Fail bool
	// LoseAnswer breaks the connection after the call has taken effect.
	LoseAnswer bool
	// Reorder sends pieces and records in reverse order.
	Reorder bool
	// Repeat sends each piece, record or result twice.
	Repeat bool
	// CutShort ends streams and results before their end.
	CutShort bool
	// Freeze holds calls until the fault ends.
	Freeze bool
	// Cold makes a backend server cold.
	Cold bool
	// Lag delays load reports, lists, tails and cache events.
	Lag time.Duration
	// Down refuses every call.
	Down bool
	// Foreign answers with the identity of another request.
	Foreign bool
	// Leaving announces that the server is leaving.
	Leaving bool
}

// WithRemaining returns the fault for another number of calls.
func (f Fault) WithRemaining(n uint32) Fault {
	f.Remaining = n
	return f
}

// Covers reports whether the fault applies to an RPC.
func (f Fault) Covers(method string) bool {
	return f.Method == "" || f.Method == method
}

// Silences reports whether the whole process is cut off, so that it announces
// nothing either.
func (f Fault) Silences() bool {
	return f.Method == "" && f.Remaining == 0 && (f.Freeze || f.Down)
}

// Call is the fault of one call.
type Call struct {
	Fault
	// Ended is closed once another fault was set.
	Ended <-chan struct{}
}
