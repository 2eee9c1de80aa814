// Package claim decides which call may run for a key that may run at most once.
//
// A claimer appends a claim to one of the claim streams of the platform's log
// and waits until the tail of the stream has shown that claim. The claim with
// the lowest offset that was not given back stands, and only its claimer may
// dispatch. Every instance applies the same records in offset order, so all
// agree on which claim stands.
//
// "Not run" in this package speaks of the call at hand: it has led to no
// dispatch and never will. An earlier call with the same key is reported if
// the records that this instance has read tell of it.
package claim

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Streams is the number of streams that keys are spread over. All instances
// must agree on it.
const Streams = 16

const streamPrefix = "claims."

// MaxStoredResult is the size in bytes up to which an outcome record carries
// the result itself. Larger results are recorded by digest and length.
const MaxStoredResult = 64 << 10

// skewAllowance is the assumed greatest difference between the clock of an
// instance and that of the log.
const skewAllowance = time.Minute

// Window bounds the age of usable keys.
type Window struct {
	// Past is the greatest age of a key. It must stay well below the log's
	// retention of at least 1 h, so that claims outlive their keys.
	Past time.Duration
	// Ahead is how far the time of a key may lie in the future.
	Ahead time.Duration
}

// DefaultWindow is the window of all instances.
var DefaultWindow = Window{Past: 10 * time.Minute, Ahead: time.Minute}

// Holds reports whether a key is inside the window at a time.
func (w Window) Holds(k Key, now time.Time) bool {
	t := k.Time()
	return !t.Before(now.Add(-w.Past)) && !t.After(now.Add(w.Ahead))
}

// horizon is the time before which no key is usable at now.
func (w Window) horizon(now time.Time) time.Time {
	return now.Add(-w.Past - skewAllowance)
}

// StreamName returns the name of a stream by its number, 0 to Streams-1.
func StreamName(n int) string { return streamPrefix + strconv.Itoa(n) }

// StreamOf returns the number of the stream that holds the claims of a key.
func StreamOf(k Key) int { return int(xxhash.Sum64(k[:]) % Streams) }

// streamNumber returns the number of a stream by its name.
func streamNumber(name string) (int, bool) {
	digits, ok := strings.CutPrefix(name, streamPrefix)
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(digits)
	return n, err == nil && n >= 0 && n < Streams
}
