package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"lycheecrank.example/delivery"
	"lycheecrank.example/event"
)

const (
	// maxServedLines bounds the lines a second on served attempts. Lines on failed
	// ones are always written.
	maxServedLines = 200
	reportInterval = time.Second
)

// report writes a line for each attempt.
type report struct {
	logger *event.Logger
	served atomic.Int64
	// inFlight is the number of attempts in progress.
	inFlight atomic.Int64
}

func newReport(logger *event.Logger) *report { return &report{logger: logger} }

// run begins a new second of lines and tells how many were left out.
func (r *report) run(ctx context.Context) error {
	dropped := int64(0)
	for pause(ctx, reportInterval) {
		n := max(0, r.served.Swap(0)-maxServedLines) + r.logger.DroppedLines() - dropped
		dropped = r.logger.DroppedLines()
		if n > 0 {
			r.logger.Write(event.LogLinesDropped, n)
		}
	}
	return nil
}

// runDepths writes how much waits at the pools of stages while this instance
// prepares requests.
func (i *Instance) runDepths(ctx context.Context) error {
	for pause(ctx, reportInterval) {
		now := time.Now()
		for _, pool := range i.prepared.Batches.Queries().Pools() {
			d := i.prepared.Batches.Queries().Depth(pool, now)
			if d.Waiting == 0 && d.Busy == 0 {
				continue
			}
			i.Logger.Write(event.PoolDepth, pool, d.Waiting, d.Servers, d.Busy, d.Delay.Milliseconds(), d.RoomTaken, i.prepared.Queries().JobCount())
		}
	}
	return nil
}

// around counts the attempts in progress.
func (r *report) around(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.inFlight.Add(1)
		defer r.inFlight.Add(-1)
		next.ServeHTTP(w, req)
	})
}

// recordLatency adds an attempt to the histograms of its route, unless it has none.
func (i *Instance) recordLatency(a delivery.Attempt, v delivery.Result) {
	if v.Route == "" {
		return
	}
	i.latencies.answers.Record(v.Route, time.Since(a.ArrivedAt))
	if v.TimeToFirstEvent > 0 {
		i.latencies.firstEvents.Record(v.Route, v.TimeToFirstEvent)
	}
}

// reportAttempt counts and logs how an attempt ended.
func (i *Instance) reportAttempt(a delivery.Attempt, v delivery.Result, status int) {
	took := time.Since(a.ArrivedAt).Milliseconds()
	i.recordLatency(a, v)
	i.recordEnd(a, v)
	version := i.routes.Queries().Current().Version
	if v.Failure == nil {
		if i.report.served.Add(1) <= maxServedLines {
			i.Logger.Write(event.AttemptServed, a.ID, v.Route, v.Pool, v.Server, v.Tries, took, status, version)
		}
		return
	}
	i.refusals.Add(string(v.Failure.Reason))
	i.Logger.Write(event.AttemptFailed, a.ID, v.Route, v.Pool, v.Server, v.Tries, took, status, version,
		string(v.Failure.Reason), v.Failure.Detail, v.Failure.Sent)
}
