package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/speed"
)

// Guards against a reported slowness that is ignored, that counts a second time as
// measured slowness, that shortens timeouts, or that keeps a server without calls after it
// has ended.
func TestReportedSlowness(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := NewTable()
	c := table.Commands()
	c.SetPool(spec(), []Endpoint{{ID: "s1", Address: "s1:1", DataCentre: "a"}, {ID: "s2", Address: "s2:1", DataCentre: "a"}})
	p := table.pools["encoders"]
	typical := spec().typicalTime(1)
	chosen := func() string {
		s, ok := bestServer(p.spec, p.sortedServers(), pieces("r", 1, 0, now)[0], now)
		is.True(ok)
		return s.ID
	}
	report := func(slowness float64) {
		for range 40 {
			now = now.Add(50 * time.Millisecond)
			c.RecordLoad("s1", speed.Report{Slowness: slowness}, now)
		}
	}
	is.Equal(chosen(), "s1")
	for range 20 {
		report(3)
		p.servers["s1"] = p.servers["s1"].WithCall(0, now).WithCallEnd(3*typical, typical, 0, now)
	}
	is.Equal(chosen(), "s2")
	ratio := float64(p.servers["s1"].expectedTime(p.spec, 1, now)) / float64(typical)
	is.True(ratio > 2.7 && ratio < 3.3)
	is.Equal(p.servers["s1"].boundedTime(p.spec, 1, now), p.servers["s1"].expectedTime(p.spec, 1, now))
	report(1)
	is.True(p.servers["s1"].expectedTime(p.spec, 1, now) < typical*105/100) // it has recovered
	report(3)
	is.Equal(chosen(), "s2")
	now = now.Add(time.Second)
	is.True(p.servers["s1"].expectedTime(p.spec, 1, now) < typical*105/100) // its last report is outdated
	report(0.5)
	is.True(p.servers["s1"].expectedTime(p.spec, 1, now) < typical)
	is.True(p.servers["s1"].boundedTime(p.spec, 1, now) >= typical*99/100)
	report(0) // unknown
	is.Equal(p.servers["s1"].reported.Factor(now), 1.0)
}
