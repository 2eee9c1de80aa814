package entry

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/feed"
	"lycheecrank.example/platform"
)

// Guards against a configuration with faults that is adopted without a line in the log,
// fills the log, or pushes the errors out by warnings, and against a client's key in the log.
func TestConfigurationFindingsInLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var log bytes.Buffer
		i := New(platform.Settings{Name: "n1", DataCentre: "a", PeerAddress: "n1:1"}, &log)
		ctx, stop := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return i.configurationLog.run(ctx) })
		adopt := func(version int, text string) {
			i.applyRecords(platform.OperatorStream, []feed.Record{{
				Key: platform.ConfigurationKey, Offset: uint64(version), Value: fmt.Appendf(nil, text, version),
			}})
			synctest.Wait()
		}
		adopt(3, `{"version":%d,"services":[{"name":"a"},{"name":"b"},{"name":"c"}],"tenants":[{"name":"t","apiKeys":["private","private"]}]}`)
		adopt(2, `{"version":%d,"services":[{"name":"older"}]}`) // is not adopted
		var many strings.Builder
		for n := range 30 {
			fmt.Fprintf(&many, `{"name":"s%d"},`, n)
		}
		adopt(4, `{"version":%d,"services":[`+many.String()+`{"name":""}]}`)
		stop()
		is.NoErr(group.Wait())
		is.NoErr(i.Logger.Close())
		text := log.String()
		is.Equal(strings.Count(text, `"configuration warning"`), 4+19) // 3 pools and a key, then up to the limit
		is.Equal(strings.Count(text, `"configuration error"`), 1)
		is.True(strings.Contains(text, `"version":4,"key":"services[30].name","line":1`))
		is.True(!strings.Contains(text, "older"))
		is.True(!strings.Contains(text, "private"))
		is.Equal(i.routes.Queries().Current().Version, int64(4)) // it is in force nevertheless
	})
}
