package rollout

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecide measures a decision of the leader of a site of 91 instances, with three
// routes and ten servers of the new version.
func BenchmarkDecide(b *testing.B) {
	f := newFixture(simulated)
	f.setServers("v1", "v1", "v2", "v2")
	f.order("v2", 1)
	f.start()
	for n := range 91 {
		e := Evidence{Pool: "p", Offset: 1, Source: fmt.Sprint("n", n)}
		for route := range 3 {
			for _, server := range []string{"", fmt.Sprint("c", n%10)} {
				row := Row{Route: fmt.Sprint("r", route), Server: server}
				for k := range 12 {
					row = row.withResponse(Response{Took: time.Duration(30+20*k) * time.Millisecond})
				}
				e.Rows = append(e.Rows, row)
			}
		}
		f.Commands().AddEvidence([]Evidence{e})
	}
	for b.Loop() {
		f.Commands().Decide("p", nil, f.now)
	}
}

// BenchmarkRecord measures what a response adds.
func BenchmarkRecord(b *testing.B) {
	f := newFixture(simulated)
	f.setServers("v1", "v1", "v2")
	f.order("v2", 1)
	f.start()
	n := 0
	for b.Loop() {
		n++
		f.Commands().Record(Response{Pool: "p", Route: "r", Server: "a", Version: "v1", Took: time.Duration(30+n%200) * time.Millisecond})
	}
}
