package entry

import (
	"fmt"
	"io"
	"testing"
	"time"

	"lycheecrank.example/codec"
	"lycheecrank.example/feed"
	"lycheecrank.example/platform"
)

// serversOfEra returns the entries of a number of servers in an era of the store.
func serversOfEra(era uint64, servers int) feed.Batch {
	batch := feed.Batch{Era: era, End: uint64(servers)}
	for n := range servers {
		value := fmt.Sprintf(`{"service":"pool-%d","address":"10.1.%d.%d:1","zone":"a","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,"sequence":%d,"born":1796683580711}`,
			n%6, n/256, n%256, era)
		batch.Records = append(batch.Records, feed.Record{Key: fmt.Sprint("i-", n), Era: era, Offset: uint64(n), Value: []byte(value)})
	}
	return batch
}

// BenchmarkStoreReturn measures what the instance that reads a later era of the store first
// does for each other one, and what that one does.
func BenchmarkStoreReturn(b *testing.B) {
	for _, servers := range []int{150, 600, 3000} {
		newInstance := func() *Instance {
			i := New(platform.Settings{Name: "n1", DataCentre: "a", PeerAddress: "10.0.0.0:1"}, io.Discard)
			b.Cleanup(func() { _ = i.Logger.Close() })
			i.addRead(platform.ServerStream, serversOfEra(1, servers), time.Now())
			return i
		}
		reader := newInstance()
		behind := newInstance().newHeartbeat(false)
		behind.WantsRecords = true
		reader.addRead(platform.ServerStream, serversOfEra(2, servers), time.Now())
		var reply heartbeat
		b.Run(fmt.Sprintf("reply/%d_servers", servers), func(b *testing.B) {
			size := 0
			for b.Loop() {
				reply, _ = reader.handleHeartbeat(behind)
				data, err := codec.Marshal(reply)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes/op")
		})
		b.Run(fmt.Sprintf("follow/%d_servers", servers), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				follower := newInstance()
				b.StartTimer()
				follower.applyReply(reply, time.Now())
			}
		})
	}
}
