package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/event"
	"lycheecrank.example/request"
)

// Guards against a second send to the server of the first one, to one that must get no
// further requests, to a slower one in another data centre or to a pool without capacity,
// and against a cancelled send that counts as a success or keeps its slot.
func TestReserveSecond(t *testing.T) {
	start := time.Unix(1000, 0)
	now := start.Add(10 * time.Second)
	rows := []struct {
		name   string
		change func(c Commands)
		avoid  []string
		want   string
	}{
		{"other data centre", func(Commands) {}, nil, "c"},
		{"other data centre slower", func(c Commands) {
			c.update("c", func(s Server) Server { s.ServiceTime = 21 * time.Millisecond; return s })
		}, nil, "b"},
		{"leaving", func(c Commands) { c.SetListedLeaving("c", true) }, nil, "b"},
		{"cold", func(c Commands) { c.update("c", func(s Server) Server { return s.WithCold(now) }) }, nil, "b"},
		{"connection lost", func(c Commands) { c.MarkConnectionLost("c:1", now) }, nil, "b"},
		{"paused", func(c Commands) { c.Pause("c", now.Add(time.Second)) }, nil, "b"},
		{"suspected of being cold", func(c Commands) {
			c.update("c", func(s Server) Server { return s.withSlowResponse(now, now) })
		}, nil, "b"},
		{"failed", func(c Commands) {
			c.update("c", Server.WithReserved)
			c.Release("c", Observation{Reason: request.ReasonServerFailed}, now)
		}, nil, "b"},
		{"never measured", func(c Commands) {
			c.update("c", func(s Server) Server { s.ServiceTime = 0; return s })
		}, nil, "b"},
		{"half full", func(c Commands) { c.update("c", func(s Server) Server { s.InFlight = 4; return s }) }, nil, "b"},
		{"to be avoided", func(Commands) {}, []string{"c", "b"}, ""},
		{"pool nearly full", func(c Commands) { c.update("a", func(s Server) Server { s.InFlight = 20; return s }) }, nil, ""},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			table := NewTable(event.Discard())
			c := table.Commands()
			var specs []Spec
			for _, name := range []string{"a", "b", "c"} {
				specs = append(specs, Spec{Name: name, Pool: "p", DataCentre: map[string]string{"c": "t"}[name], Address: name + ":1", LowestRank: 9, MaxInFlight: 8, ColdInFlight: 4})
			}
			c.Sync(specs, start)
			for _, s := range specs {
				c.update(s.Name, func(s Server) Server {
					s.Warmth, s.CurrentLimit, s.ServiceTime = Warm, s.MaxInFlight, 20*time.Millisecond
					return s
				})
			}
			row.change(c)
			first, _ := table.Queries().Server("a")
			second, ok := c.ReserveSecond("p", first, row.avoid, now)
			is.Equal(ok, row.want != "")
			is.Equal(second.Name, row.want)
			if !ok {
				return
			}
			before, _ := table.Queries().Server(second.Name)
			c.ReleaseCancelled(second.Name, 5*time.Millisecond)
			after, _ := table.Queries().Server(second.Name)
			is.Equal(after.InFlight, before.InFlight-1)
			is.Equal(after.ServiceTime, 20*time.Millisecond)
			is.Equal(after.successes, before.successes)
			is.Equal(after.WithCancelled(120*time.Millisecond).ServiceTime, 30*time.Millisecond)
		})
	}
}
