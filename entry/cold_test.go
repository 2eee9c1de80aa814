package entry

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/fleet"
	"lycheecrank.example/membership"
	"lycheecrank.example/platform"
	"lycheecrank.example/route"
)

// Guards against instances that send to a cold server of a plain pool without a limit, take
// the same turn, or take turns while they don't know how many they are.
func TestColdLimitOfPlainServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const instances = 6
		var known []membership.Instance
		for n := range instances {
			known = append(known, membership.Instance{Name: fmt.Sprint("n", n)})
		}
		positions := map[int]bool{}
		for _, m := range known {
			i := New(platform.Settings{Name: m.Name, DataCentre: "a", PeerAddress: m.Name + ":1"}, io.Discard)
			i.members.Commands().AddKnown(known, time.Now())
			i.routes.Commands().Apply(route.NewConfiguration(1, route.Limits{}, nil, []route.Pool{{Name: "registry", ColdRequestsPerSecond: 11, ColdTime: 3 * time.Second}}, nil))
			coldUntil := time.Now().Add(time.Minute)
			i.fleet.Commands().Apply([]fleet.Change{{Server: fleet.Server{ID: "s1", Pool: "registry", Address: "s1:1", DataCentre: "a", Slots: 4, ColdUntil: coldUntil}}})
			i.syncServers(time.Now())
			s, _ := i.plainServers.Queries().Server("s1")
			is.Equal(s.ColdUntil, coldUntil)
			is.Equal(s.ColdTime, 3*time.Second)
			is.Equal(s.ColdLimit.RequestsPerSecond, 11.0)
			is.Equal(s.ColdLimit.Instances, 0) // the number isn't known right after the start
			i.syncServers(i.startedAt.Add(settlingTime))
			s, _ = i.plainServers.Queries().Server("s1")
			is.Equal(s.ColdLimit.Instances, instances)
			positions[s.ColdLimit.Position] = true
			is.NoErr(i.Logger.Close())
		}
		is.Equal(len(positions), instances) // each has a turn of its own
	})
}
