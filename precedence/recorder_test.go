package precedence_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/precedence"
)

// stubLog is a log with outages, as seen by one recorder.
type stubLog struct {
	t       *testing.T
	started time.Time
	// batches and events are the recorder's until it has stopped.
	batches []precedence.Batch
	// down makes appends fail; lossy appends and then fails.
	down  atomic.Bool
	lossy atomic.Bool

	events strings.Builder
	last   time.Time
}

func (l *stubLog) note(format string, args ...any) {
	fmt.Fprintf(&l.events, "%6s "+format+"\n", append([]any{time.Since(l.started).Round(time.Millisecond)}, args...)...)
}

func (l *stubLog) append(_ context.Context, data []byte) error {
	if !l.last.IsZero() && time.Since(l.last) < time.Second {
		l.t.Errorf("two appends within %s", time.Since(l.last))
	}
	l.last = time.Now()
	b, err := sealer.Open(data)
	if err != nil {
		l.t.Error(err)
	}
	if !l.down.Load() {
		l.batches = append(l.batches, b)
	}
	switch {
	case l.down.Load():
		l.note("append fails: records %d to %d", b.First, b.Records[len(b.Records)-1].Sequence)
		return errors.New("log unavailable")
	case l.lossy.CompareAndSwap(true, false):
		l.note("append, answer lost: records %d to %d", b.First, b.Records[len(b.Records)-1].Sequence)
		return errors.New("no answer")
	}
	l.note("append: records %d to %d", b.First, b.Records[len(b.Records)-1].Sequence)
	return nil
}

// run starts a recorder and returns the log, the table and a function that
// stops the recorder and returns its error.
func run(t *testing.T, capacity int) (*stubLog, *precedence.Table, func() error) {
	log := &stubLog{t: t, started: time.Now()}
	table := precedence.NewTable("helsinki-a-1", "i1", capacity)
	r := precedence.Recorder{
		Table: table, Key: signingKey(1), Seal: sealer.Seal, Append: log.append, MaxBatch: 8,
		Lost: func(n uint64) { log.note("lost: %d", n) },
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	var running sync.WaitGroup
	running.Go(func() { done <- r.Run(ctx) })
	return log, table, func() error {
		cancel()
		err := <-done
		log.note("stopped with %d buffered", table.Queries().Buffered())
		return err
	}
}

// addEach adds n records, one every 97 ms: an interval at which no record comes
// at the very time of an append, when their order would be open.
func addEach(table *precedence.Table, n int) {
	for range n {
		r := decision(fmt.Sprintf("r%d", table.Queries().Sequence()+1), 0)
		r.At = time.Time{}
		table.Commands().Add(r)
		time.Sleep(97 * time.Millisecond)
	}
}

// Guards against records that are lost without a truthful gap record, batches
// that come oftener than once a second, and a shutdown that leaves records
// behind. Each scenario has its course in testdata.
func TestRecorder(t *testing.T) {
	tests := []struct {
		name     string
		capacity int
		course   func(log *stubLog, table *precedence.Table)
		unsent   bool
	}{
		{"steady", 100, func(_ *stubLog, table *precedence.Table) { addEach(table, 25) }, false},
		{"idle", 100, func(_ *stubLog, table *precedence.Table) {
			time.Sleep(time.Hour)
			addEach(table, 1)
			time.Sleep(time.Hour)
		}, false},
		{"answerLost", 100, func(log *stubLog, table *precedence.Table) {
			log.lossy.Store(true)
			addEach(table, 15)
		}, false},
		{"outage", 100, func(log *stubLog, table *precedence.Table) {
			addEach(table, 12)
			log.down.Store(true)
			addEach(table, 40)
			log.down.Store(false)
			addEach(table, 5)
			time.Sleep(time.Minute)
		}, false},
		{"overflow", 20, func(log *stubLog, table *precedence.Table) {
			log.down.Store(true)
			addEach(table, 70)
			log.down.Store(false)
			time.Sleep(10 * time.Second)
			addEach(table, 5)
			log.down.Store(true)
			addEach(table, 60)
			log.down.Store(false)
			time.Sleep(time.Minute)
		}, false},
		{"stopInOutage", 100, func(log *stubLog, table *precedence.Table) {
			log.down.Store(true)
			addEach(table, 30)
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log, table, stop := run(t, tt.capacity)
				tt.course(log, table)
				err := stop()
				is.Equal(errors.Is(err, precedence.ErrUnsent), tt.unsent)
				report := precedence.Verify(log.batches)
				is.True(report.Intact())
				checkTruthful(t, report, log.batches, table, tt.unsent)
				golden(t).Assert(t, "recorder_"+tt.name, []byte(log.events.String()+report.Text()))
			})
		})
	}
}

// checkTruthful checks that each record added is in the log or counted by a
// gap, once.
func checkTruthful(t *testing.T, report precedence.Report, batches []precedence.Batch, table *precedence.Table, unsent bool) {
	t.Helper()
	is := is.New(t)
	if unsent {
		return
	}
	var counted uint64
	for _, g := range report.Chains[0].Gaps {
		counted += g.Count
	}
	is.Equal(counted, table.Queries().Lost())
	kept := map[string]bool{}
	for _, b := range batches {
		for _, r := range b.Records {
			if r.Kind != precedence.Gap {
				is.Equal(r.RequestID, fmt.Sprintf("r%d", r.Sequence)) // the record has the number it was added with
				kept[r.RequestID] = true
			}
		}
	}
	is.Equal(uint64(len(kept))+counted, table.Queries().Sequence())
}

// Guards against concurrent callers that corrupt the chain or its bound.
func TestConcurrentAdd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log, table, stop := run(t, 10000)
		var adders sync.WaitGroup
		for w := range 8 {
			adders.Go(func() {
				for i := range 50 {
					table.Commands().Add(decision(fmt.Sprintf("w%d-%d", w, i), i))
					time.Sleep(time.Duration(w+1) * time.Millisecond)
				}
			})
		}
		time.Sleep(2 * time.Minute)
		is.NoErr(stop())
		report := precedence.Verify(log.batches)
		is.True(report.Intact())
		is.Equal(report.Chains[0].Records, 400)
	})
}
