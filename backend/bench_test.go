package backend_test

import (
	"fmt"
	"testing"
	"time"

	"lycheecrank.example/backend"
	"lycheecrank.example/event"
)

// BenchmarkChoose measures selecting a server of a pool, and reserving a slot and
// freeing it unused.
func BenchmarkChoose(b *testing.B) {
	permission := backend.Permission{AllowCold: true, WarmLimitDivisor: 1}
	for _, n := range []int{5, 20, 100, 600} {
		table := backend.NewTable(event.Discard())
		var specs []backend.Spec
		for i := range n {
			specs = append(specs, newSpec(fmt.Sprintf("s%03d", i)))
		}
		now := time.Now()
		table.Commands().Sync(specs, now)
		servers := table.Queries().Pool("p")
		b.Run(fmt.Sprintf("choose/servers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				backend.Choose(servers, 0, nil, permission, now)
			}
		})
		b.Run(fmt.Sprintf("reserve/servers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s, _ := table.Commands().Reserve("p", 0, nil, permission, now)
				table.Commands().CancelReservation(s.Name)
			}
		})
	}
}
