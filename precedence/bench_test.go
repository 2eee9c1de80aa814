package precedence_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"

	"lycheecrank.example/precedence"
)

// traffic returns the decisions of one instance at the planned peak, 3,900 requests per
// second over 350 instances. For each request that it admits there are one admission,
// one finish and four dispatches, one for each stage of a pipeline. The dispatches are
// those of the pools that the instance owns, for requests most of which were admitted
// by other instances. There are 230 workspaces, and every tenth request has a request key.
func traffic(requests int) []precedence.Record {
	random := rand.New(rand.NewPCG(1, 2))
	classes := []string{"urgent", "inspection", "standard", "batch"}
	stages := []string{"encode", "retrieve", "rerank", "generate"}
	var records []precedence.Record
	now := start
	for range requests {
		now = now.Add(time.Duration(random.ExpFloat64() * 90 * float64(time.Millisecond)))
		rank := random.IntN(len(classes))
		arrival := now
		base := precedence.Record{
			RequestID: uuid.Must(uuid.NewV7()).String(), Workspace: fmt.Sprintf("workspace-%d", random.IntN(230)),
			Target: fmt.Sprintf("pipeline-%d", random.IntN(7)), Class: classes[rank], Rank: rank,
			Arrival: arrival, Deadline: arrival.Add(6 * time.Second), Revision: 41000,
		}
		if random.IntN(10) == 0 {
			base.RequestKey = uuid.Must(uuid.NewV7()).String()
		}
		add := func(kind precedence.Kind, modify func(record *precedence.Record)) {
			record := base
			record.Kind, record.DecidedAt = kind, now
			modify(&record)
			records = append(records, record)
		}
		add(precedence.Admission, func(*precedence.Record) {})
		for i, stage := range stages {
			joined := now.Add(time.Duration(random.IntN(2000)) * time.Microsecond)
			now = joined.Add(time.Duration(random.IntN(5000)) * time.Microsecond)
			add(precedence.Dispatch, func(record *precedence.Record) {
				if random.IntN(350) > 0 {
					record.RequestID = uuid.Must(uuid.NewV7()).String()
					record.Workspace = fmt.Sprintf("workspace-%d", random.IntN(230))
					record.Rank = random.IntN(len(classes))
					record.Class = classes[record.Rank]
				}
				record.Stage, record.Pool, record.Attempt = stage, fmt.Sprintf("%s-model-%d", stage, random.IntN(9)), 1
				record.Server = fmt.Sprintf("%s-gpu-%d", record.Pool, random.IntN(20))
				record.Arrival, record.Deadline = joined, arrival.Add(time.Duration(i+1)*1500*time.Millisecond)
				record.Waiting = random.IntN(4)
			})
		}
		add(precedence.Finish, func(record *precedence.Record) { record.Outcome = "ran" })
	}
	return records
}

func BenchmarkAdd(b *testing.B) {
	records := traffic(1000)
	commands := precedence.NewTable("helsinki-a-1", "i1", 1<<30).Commands()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		commands.Add(records[i%len(records)])
		if i%1000 == 999 {
			commands.TakeBatch(1000)
			commands.ConfirmBatch()
		}
	}
}

// BenchmarkBuffer reports the memory per buffered record.
func BenchmarkBuffer(b *testing.B) {
	const capacity = 100000
	records := traffic(capacity / 6)
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := precedence.NewTable("helsinki-a-1", "i1", capacity)
		for _, r := range records {
			table.Commands().Add(r)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(table.Queries().Buffered()), "heap-B/record")
	}
}

// batchSizes are the numbers of records of one second and of ten seconds at the planned
// peak, and of the largest batch after an outage.
var batchSizes = []int{67, 670, 10000}

func BenchmarkSeal(b *testing.B) {
	for _, n := range batchSizes {
		batch := chain(b, owner, n, traffic(n/6 + 1)[:n]...)[0]
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			var size int
			for b.Loop() {
				data, err := sealer.Seal(batch)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size)/float64(n), "log-B/record")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/record")
		})
	}
}

func BenchmarkSign(b *testing.B) {
	batch := chain(b, owner, 67, traffic(12)[:67]...)[0]
	key := signingKey(1)
	for b.Loop() {
		batch = batch.WithSignature(key)
	}
}

func BenchmarkVerify(b *testing.B) {
	for _, n := range batchSizes {
		batches := chain(b, owner, n, traffic(n/6 + 1)[:n]...)
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			for b.Loop() {
				if !precedence.Verify(batches).Intact() {
					b.Fatal("the chain is not intact")
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/record")
		})
	}
}

func BenchmarkOpen(b *testing.B) {
	batch := chain(b, owner, 670, traffic(112)[:670]...)[0]
	data, err := sealer.Seal(batch)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := sealer.Open(data); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*670), "ns/record")
}
