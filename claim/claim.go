// Package claim ensures that at most one call runs for each idempotency key.
//
// A claimer appends a claim to one of the claim streams of the platform's log
// and waits until it reads the claim back from the tail of that stream. The
// active claim of a key is the one with the lowest offset that has not been
// released, and only its claimer may dispatch. Every instance applies the same
// records in offset order, so all instances agree on the active claim.
//
// "Not run" in this package refers to the current call: it has not been
// dispatched and never will be. It says nothing about earlier calls with the same
// key, because this instance reports one only if it has read its records.
package claim

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// StreamCount is the number of streams that keys are distributed over. All
// instances must use the same value.
const StreamCount = 16

const streamPrefix = "claims."

// MaxStoredResultBytes is the size limit of the output stored in an outcome
// record. For a larger output the record holds only its digest and length.
const MaxStoredResultBytes = 64 << 10

// maxClockSkew is the assumed maximum difference between the clocks of an
// instance and the log.
const maxClockSkew = time.Minute

// Window limits the timestamps of keys that may be claimed.
type Window struct {
	// MaxAge is the maximum age of a key. It must stay well below the log's
	// retention of at least 1 h, so that a key expires before its claims do.
	MaxAge time.Duration
	// MaxAhead limits how far the timestamp of a key may be in the future.
	MaxAhead time.Duration
}

// DefaultWindow is the window used by all instances.
var DefaultWindow = Window{MaxAge: 10 * time.Minute, MaxAhead: time.Minute}

// Contains reports whether the timestamp of a key is inside the window at now.
func (w Window) Contains(k Key, now time.Time) bool {
	t := k.Time()
	return !t.Before(now.Add(-w.MaxAge)) && !t.After(now.Add(w.MaxAhead))
}

// expiryCutoff returns the oldest timestamp that any instance may still accept
// at now.
func (w Window) expiryCutoff(now time.Time) time.Time {
	return now.Add(-w.MaxAge - maxClockSkew)
}

// StreamName returns the name of stream n, where n is in [0, StreamCount).
func StreamName(n int) string { return streamPrefix + strconv.Itoa(n) }

// StreamOf returns the number of the stream that holds the claims of a key.
func StreamOf(k Key) int { return int(xxhash.Sum64(k[:]) % StreamCount) }

// streamNumber parses a stream name. It returns false if the name is not that
// of a claim stream.
func streamNumber(name string) (int, bool) {
	digits, ok := strings.CutPrefix(name, streamPrefix)
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(digits)
	return n, err == nil && n >= 0 && n < StreamCount
}
