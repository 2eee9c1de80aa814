package ownership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"lycheecrank.example/member"
)

const (
	benchInstances   = 350
	benchPools       = 35
	benchDataCentres = 4
)

func benchPool(n int) string { return fmt.Sprintf("pool-%02d", n) }

func benchDataCentre(n int) string { return fmt.Sprintf("centre-%d", n) }

// benchRecords returns acquisitions of all pools in all data centres, each by a
// different instance.
func benchRecords() []Record {
	var records []Record
	for c := range benchDataCentres {
		for p := range benchPools {
			name := fmt.Sprintf("instance-%03d", len(records))
			records = append(records, Record{Kind: Acquire, Instance: name, Incarnation: name + "-1", DataCentre: benchDataCentre(c), AppliedOffset: uint64(len(records)), Terms: []RecordTerm{{Pool: benchPool(p)}}})
		}
	}
	return records
}

func benchTable(tb testing.TB) *Table {
	tb.Helper()
	now := time.Now()
	table := NewTable(Identity{"instance-000", "instance-000-1", benchDataCentre(0)}, Timing{}, NewState(0), now)
	for n, r := range benchRecords() {
		r.Sequence = table.Commands().nextSequence(now)
		if err := table.Commands().Apply(uint64(n+1), r, now); err != nil {
			tb.Fatal(err)
		}
	}
	return table
}

func benchCandidates() []member.Instance {
	var list []member.Instance
	for n := range benchInstances / benchDataCentres {
		name := fmt.Sprintf("instance-%03d", n)
		list = append(list, member.Instance{Name: name, Incarnation: name + "-1", DataCentre: benchDataCentre(0), IsReachable: true})
	}
	return list
}

func BenchmarkApplyRenewal(b *testing.B) {
	table := benchTable(b)
	offset := table.Queries().State().Applied()
	r := Record{Kind: Renew, Instance: "instance-000", Incarnation: "instance-000-1", DataCentre: benchDataCentre(0), Terms: []RecordTerm{{Pool: benchPool(0), Term: 1}}}
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		offset++
		if err := table.Commands().Apply(offset, r, now); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkPermission(b *testing.B) {
	q, pool := benchTable(b).Queries(), benchPool(0)
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		q.Permission(pool, now)
	}
}

func BenchmarkRouteToOwner(b *testing.B) {
	q, list, pool, centre := benchTable(b).Queries(), benchCandidates(), benchPool(34), benchDataCentre(0)
	b.ReportAllocs()
	for b.Loop() {
		q.Route(pool, centre, list, func(string) bool { return false })
	}
}

func BenchmarkRouteToSubstitute(b *testing.B) {
	q, list, pool, centre := benchTable(b).Queries(), benchCandidates(), benchPool(34), benchDataCentre(0)
	b.ReportAllocs()
	for b.Loop() {
		q.Route(pool, centre, list, func(name string) bool { return name == "instance-034" })
	}
}

// BenchmarkIdleStep measures one call of appendDueRecords with no record due, which runs four times a
// second.
func BenchmarkIdleStep(b *testing.B) {
	table, list := benchTable(b), benchCandidates()
	var pools []string
	for p := range benchPools {
		pools = append(pools, benchPool(p))
	}
	k := Manager{Table: table, Pools: func() []string { return pools }, Candidates: func() []member.Instance { return list }}
	k.lastRenewal.sent = time.Now().Add(time.Hour)
	k.lastRenewal.failed = true
	for _, p := range pools {
		k.recordAcquire(p, time.Now().Add(time.Hour))
	}
	b.ReportAllocs()
	for b.Loop() {
		k.appendDueRecords(b.Context())
	}
}

// BenchmarkStateBytes reports the heap memory per term of the state.
func BenchmarkStateBytes(b *testing.B) {
	const copies = 100
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		tables := make([]*Table, copies)
		for n := range tables {
			tables[n] = benchTable(b)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/copies/benchPools/benchDataCentres, "B/term")
		runtime.KeepAlive(tables)
	}
}
