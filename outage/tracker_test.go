package outage

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against sending work to each server of an unreachable data centre in turn,
// against blocking a data centre for a single crashed server, and against blocking
// one that responds.
func TestTracker(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var tr Tracker
	is.True(!tr.IsBlocked("a", now))
	tr.RecordFailure("a", "s1", now)
	tr.RecordFailure("a", "s1", now)
	is.True(!tr.IsBlocked("a", now)) // a single server may have crashed
	tr.RecordFailure("a", "s2", now)
	is.True(tr.IsBlocked("a", now))
	is.True(!tr.IsBlocked("b", now))
	tr.RecordFailure("a", "s3", now) // was sent before the block began
	is.Equal(tr.BlockedUntil("a"), now.Add(minBlock))

	now = now.Add(minBlock)
	is.True(!tr.IsBlocked("a", now))
	tr.RecordSent("a", now.Add(time.Second)) // one server is tried
	is.True(tr.IsBlocked("a", now))
	now = now.Add(time.Second)
	tr.RecordFailure("a", "s1", now)
	is.Equal(tr.BlockedUntil("a"), now.Add(2*minBlock)) // the block doubles
	for range 20 {
		now = tr.BlockedUntil("a")
		tr.RecordFailure("a", "s1", now)
	}
	is.Equal(tr.BlockedUntil("a"), now.Add(maxBlock))
	tr.RecordSuccess("a")
	is.True(!tr.IsBlocked("a", now))
	tr.RecordSent("a", now.Add(time.Second)) // no longer blocked
	is.True(!tr.IsBlocked("a", now))
	tr.RecordFailure("a", "s2", now)
	is.True(!tr.IsBlocked("a", now)) // the count starts again
}
