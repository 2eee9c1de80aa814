package entry

import (
	"fmt"
	"io"
	"testing"
	"time"

	"lycheecrank.example/feed"
	"lycheecrank.example/membership"
	"lycheecrank.example/platform"
)

// BenchmarkSite measures the work of one instance in sites of several sizes: applying
// the entries of all servers, renewing a hundred of them, synchronizing the server
// tables, choosing the coordinator, recording a contact and choosing the recipients of
// heartbeats.
func BenchmarkSite(b *testing.B) {
	for _, size := range []struct{ instances, servers int }{{30, 300}, {100, 1000}, {300, 3000}} {
		i := New(platform.Settings{Name: "n0", DataCentre: "a", PeerAddress: "10.0.0.0:1"}, io.Discard)
		now := time.Now()
		var records []feed.Record
		for n := range size.servers {
			value := fmt.Sprintf(`{"service":"pool-%d","address":"10.1.%d.%d:1","zone":"a","slots":8,"state":"ready","sequence":1}`, n%6, n/256, n%256)
			records = append(records, feed.Record{Key: fmt.Sprint("s", n), Offset: uint64(n), Value: []byte(value)})
		}
		for n := range size.instances - 1 {
			m := membership.Instance{Name: fmt.Sprint("n", n+1), Address: fmt.Sprintf("10.0.%d.%d:1", n/256, n%256), EligibleSince: int64(n)}
			i.members.Commands().RecordContact(m, now)
		}
		name := func(what string) string { return fmt.Sprintf("%s/%d_instances", what, size.instances) }
		b.Run(name("start"), func(b *testing.B) {
			for b.Loop() {
				i.applyRecords(platform.ServerStream, records)
			}
		})
		b.Run(name("renewals"), func(b *testing.B) {
			for b.Loop() {
				i.applyRecords(platform.ServerStream, records[:100])
			}
		})
		b.Run(name("sync"), func(b *testing.B) {
			for b.Loop() {
				i.syncServers(now)
			}
		})
		b.Run(name("coordinator"), func(b *testing.B) {
			for b.Loop() {
				i.view().Coordinator(i.ownScope(), now)
			}
		})
		b.Run(name("contact"), func(b *testing.B) {
			for b.Loop() {
				i.members.Commands().RecordContact(membership.Instance{Name: "n1"}, now)
			}
		})
		b.Run(name("targets"), func(b *testing.B) {
			for b.Loop() {
				i.heartbeatTargets(1, now)
			}
		})
	}
}
