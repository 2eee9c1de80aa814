package entry

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/platform"
	"lycheecrank.example/route"
)

// Guards against an instance that acts on what it knew before its machine was suspended
// until its next heartbeat: the suspension must show in the first call after it.
func TestLastBreak(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		i := New(platform.Settings{Name: "n1", DataCentre: "a", PeerAddress: "n1:1"}, io.Discard)
		defer func() { is.NoErr(i.Logger.Close()) }()
		suspended := 5 * time.Hour // before the start of the process
		i.SinceBoot = func() time.Duration { return time.Since(i.startedAt) + suspended }
		is.Equal(i.lastBreak().Count, int64(0))
		i.routes.Commands().Apply(route.NewConfiguration(1, route.Limits{}, nil, nil, nil))
		i.routes.Commands().Confirm(time.Now())
		time.Sleep(time.Second)
		suspended += maxBreak // short enough
		is.Equal(i.lastBreak().Count, int64(0))
		is.True(i.routes.Queries().IsCurrent(time.Now()))
		suspended += maxBreak + time.Millisecond
		last := i.lastBreak()
		is.Equal(last.Count, int64(1))
		is.Equal(last.EndedAt, time.Now())
		is.True(!i.routes.Queries().IsCurrent(time.Now()))
		is.Equal(i.view().Self().EligibleSince, time.Now().UnixMilli())
		is.Equal(i.lastBreak().Count, int64(1))
	})
}
