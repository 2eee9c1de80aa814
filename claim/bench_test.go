package claim_test

import (
	"context"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"lycheecrank.example/claim"
	"lycheecrank.example/request"
)

func newKey() claim.Key { return claim.Key(uuid.Must(uuid.NewV7())) }

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkApply applies a claim and an outcome with a 64-byte output per key, and
// reports the memory used per key.
func BenchmarkApply(b *testing.B) {
	table := claim.NewTable()
	for n := range claim.StreamCount {
		_ = table.Commands().SetNextOffset(claim.StreamName(n), 1, time.Time{})
	}
	records := make([]claim.Record, 0, 2*b.N)
	for range b.N {
		r := claim.Record{Kind: claim.KindClaim, Key: newKey(), ClaimID: claim.NewID(), Workspace: "contagem", Instance: "node1", Incarnation: "1"}
		records = append(records, r, r.WithOutcome(request.Ran, claim.NewResult(make([]byte, 64))))
	}
	var through [claim.StreamCount]uint64
	before := heapBytes()
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; i < len(records); i += 2 {
		n := claim.StreamOf(records[i].Key)
		_ = table.Commands().ApplyRecords(claim.StreamName(n), through[n]+1, records[i:i+2])
		through[n] += 2
	}
	b.StopTimer()
	b.ReportMetric(float64(heapBytes()-before)/float64(b.N), "tableB/key")
	runtime.KeepAlive(table)
	runtime.KeepAlive(records)
}

// BenchmarkClaim claims and finishes keys on a log without latency, with 16
// concurrent callers per processor.
func BenchmarkClaim(b *testing.B) {
	table := claim.NewTable()
	var mu sync.Mutex
	through, appends := map[string]uint64{}, 0
	c := claim.NewClaimer(table, func(_ context.Context, stream string, records []claim.Record) error {
		mu.Lock()
		defer mu.Unlock()
		appends++
		err := table.Commands().ApplyRecords(stream, through[stream]+1, records)
		through[stream] += uint64(len(records))
		return err
	})
	for n := range claim.StreamCount {
		_ = table.Commands().SetNextOffset(claim.StreamName(n), 1, time.Time{})
	}
	ctx, stop := context.WithCancel(b.Context())
	var group sync.WaitGroup
	group.Go(func() { _ = c.Run(ctx) })
	b.ReportAllocs()
	b.SetParallelism(16)
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			t, err := c.Claim(ctx, newKey(), "contagem", claim.Digest{})
			if err != nil {
				b.Error(err)
				return
			}
			_ = t.Finish(ctx, request.Ran, nil)
		}
	})
	b.ReportMetric(float64(appends)/float64(b.N), "appends/op")
	stop()
	group.Wait()
}
