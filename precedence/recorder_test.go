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

// stubLog is a log for one recorder, with simulated failures.
type stubLog struct {
	t       *testing.T
	started time.Time
	// batches, events and lastAppend are only accessed by the recorder's goroutine
	// until it has stopped.
	batches []precedence.Batch
	// isDown makes appends fail. losesReply makes the next append store its data and
	// return an error.
	isDown     atomic.Bool
	losesReply atomic.Bool

	events     strings.Builder
	lastAppend time.Time
}

func (l *stubLog) logEvent(format string, args ...any) {
	fmt.Fprintf(&l.events, "%6s "+format+"\n", append([]any{time.Since(l.started).Round(time.Millisecond)}, args...)...)
}

func (l *stubLog) append(_ context.Context, data []byte) error {
	if !l.lastAppend.IsZero() && time.Since(l.lastAppend) < time.Second {
		l.t.Errorf("interval between two appends: %s, shorter than 1 s", time.Since(l.lastAppend))
	}
	l.lastAppend = time.Now()
	batch, err := sealer.Open(data)
	if err != nil {
		l.t.Error(err)
	}
	if !l.isDown.Load() {
		l.batches = append(l.batches, batch)
	}
	switch {
	case l.isDown.Load():
		l.logEvent("append fails: records %d to %d", batch.FirstSequence, batch.Records[len(batch.Records)-1].Sequence)
		return errors.New("log unavailable")
	case l.losesReply.CompareAndSwap(true, false):
		l.logEvent("append, reply lost: records %d to %d", batch.FirstSequence, batch.Records[len(batch.Records)-1].Sequence)
		return errors.New("no reply")
	}
	l.logEvent("append: records %d to %d", batch.FirstSequence, batch.Records[len(batch.Records)-1].Sequence)
	return nil
}

// startRecorder starts a recorder and returns the log, the table and a function that
// stops the recorder and returns its error.
func startRecorder(t *testing.T, capacity int) (*stubLog, *precedence.Table, func() error) {
	log := &stubLog{t: t, started: time.Now()}
	table := precedence.NewTable("helsinki-a-1", "i1", capacity)
	recorder := precedence.Recorder{
		Table: table, SigningKey: signingKey(1), Seal: sealer.Seal, Append: log.append, MaxBatch: 8,
		OnLost: func(count uint64) { log.logEvent("lost: %d", count) },
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	var goroutines sync.WaitGroup
	goroutines.Go(func() { done <- recorder.Run(ctx) })
	return log, table, func() error {
		cancel()
		err := <-done
		log.logEvent("stopped with %d buffered", table.Queries().Buffered())
		return err
	}
}

// addRecords adds records at intervals of 97 ms. The interval keeps an Add from
// coinciding with an append, which would leave the order of the two undefined.
func addRecords(table *precedence.Table, count int) {
	for range count {
		record := decision(fmt.Sprintf("r%d", table.Queries().LastSequence()+1), 0)
		record.DecidedAt = time.Time{}
		table.Commands().Add(record)
		time.Sleep(97 * time.Millisecond)
	}
}

// Guards against records that are lost without a correct gap record, against more than
// one append per second, and against a shutdown that leaves records in the buffer. The
// golden files show the events of each scenario.
func TestRecorder(t *testing.T) {
	tests := []struct {
		name            string
		capacity        int
		scenario        func(log *stubLog, table *precedence.Table)
		wantNotAppended bool
	}{
		{"steady", 100, func(_ *stubLog, table *precedence.Table) { addRecords(table, 25) }, false},
		{"idle", 100, func(_ *stubLog, table *precedence.Table) {
			time.Sleep(time.Hour)
			addRecords(table, 1)
			time.Sleep(time.Hour)
		}, false},
		{"replyLost", 100, func(log *stubLog, table *precedence.Table) {
			log.losesReply.Store(true)
			addRecords(table, 15)
		}, false},
		{"outage", 100, func(log *stubLog, table *precedence.Table) {
			addRecords(table, 12)
			log.isDown.Store(true)
			addRecords(table, 40)
			log.isDown.Store(false)
			addRecords(table, 5)
			time.Sleep(time.Minute)
		}, false},
		{"overflow", 20, func(log *stubLog, table *precedence.Table) {
			log.isDown.Store(true)
			addRecords(table, 70)
			log.isDown.Store(false)
			time.Sleep(10 * time.Second)
			addRecords(table, 5)
			log.isDown.Store(true)
			addRecords(table, 60)
			log.isDown.Store(false)
			time.Sleep(time.Minute)
		}, false},
		{"stopInOutage", 100, func(log *stubLog, table *precedence.Table) {
			log.isDown.Store(true)
			addRecords(table, 30)
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log, table, stop := startRecorder(t, tt.capacity)
				tt.scenario(log, table)
				err := stop()
				is.Equal(errors.Is(err, precedence.ErrNotAppended), tt.wantNotAppended)
				report := precedence.Verify(log.batches)
				is.True(report.Intact())
				checkComplete(t, report, log.batches, table, tt.wantNotAppended)
				golden(t).Assert(t, "recorder_"+tt.name, []byte(log.events.String()+report.Text()))
			})
		})
	}
}

// checkComplete checks that each added record is either in the log or counted by
// exactly one gap record.
func checkComplete(t *testing.T, report precedence.Report, batches []precedence.Batch, table *precedence.Table, wantNotAppended bool) {
	t.Helper()
	is := is.New(t)
	if wantNotAppended {
		return
	}
	var lost uint64
	for _, g := range report.Chains[0].Gaps {
		lost += g.Count
	}
	is.Equal(lost, table.Queries().LostCount())
	logged := map[string]bool{}
	for _, b := range batches {
		for _, r := range b.Records {
			if r.Kind != precedence.Gap {
				is.Equal(r.RequestID, fmt.Sprintf("r%d", r.Sequence)) // the sequence number is the one assigned by Add
				logged[r.RequestID] = true
			}
		}
	}
	is.Equal(uint64(len(logged))+lost, table.Queries().LastSequence())
}

// Guards against concurrent calls of Add that corrupt the chain or lose records.
func TestConcurrentAdd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log, table, stop := startRecorder(t, 10000)
		var goroutines sync.WaitGroup
		for w := range 8 {
			goroutines.Go(func() {
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
