package outage

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a data centre that is cut off and gets work again for each of its
// servers, one that is given up for one server that crashed, and one that is left
// alone though it answers.
func TestTracker(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var tr Tracker
	is.True(!tr.IsBlocked("a", now))
	tr.Failed("a", "s1", now)
	tr.Failed("a", "s1", now)
	is.True(!tr.IsBlocked("a", now)) // one server may have crashed
	tr.Failed("a", "s2", now)
	is.True(tr.IsBlocked("a", now))
	is.True(!tr.IsBlocked("b", now))
	tr.Failed("a", "s3", now) // was on its way
	is.Equal(tr.Blocked("a"), now.Add(minBlock))

	now = now.Add(minBlock)
	is.True(!tr.IsBlocked("a", now))
	tr.Sent("a", now.Add(time.Second)) // one server is tried
	is.True(tr.IsBlocked("a", now))
	now = now.Add(time.Second)
	tr.Failed("a", "s1", now)
	is.Equal(tr.Blocked("a"), now.Add(2*minBlock)) // the block grows
	for range 20 {
		now = tr.Blocked("a")
		tr.Failed("a", "s1", now)
	}
	is.Equal(tr.Blocked("a"), now.Add(maxBlock))
	tr.Succeeded("a")
	is.True(!tr.IsBlocked("a", now))
	tr.Sent("a", now.Add(time.Second)) // in no doubt any more
	is.True(!tr.IsBlocked("a", now))
	tr.Failed("a", "s2", now)
	is.True(!tr.IsBlocked("a", now)) // the count begins anew
}
