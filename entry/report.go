package entry

import (
	"context"
	"sync/atomic"
	"time"

	"lycheecrank.example/delivery"
	"lycheecrank.example/event"
)

const (
	// maxServedLines bounds the log lines per second about served attempts. The lines
	// about failed attempts aren't limited.
	maxServedLines = 200
	logInterval    = time.Second
)

// attemptLog limits the log lines about served attempts.
type attemptLog struct {
	logger *event.Logger
	served atomic.Int64
}

func newAttemptLog(logger *event.Logger) *attemptLog { return &attemptLog{logger: logger} }

// run resets the number of lines every second, and logs how many lines were dropped.
func (l *attemptLog) run(ctx context.Context) error {
	dropped := int64(0)
	for pause(ctx, logInterval) {
		n := max(0, l.served.Swap(0)-maxServedLines) + l.logger.DroppedLines() - dropped
		dropped = l.logger.DroppedLines()
		if n > 0 {
			l.logger.Write(event.LogLinesDropped, n)
		}
	}
	return nil
}

// runDepthLog logs the queue depth of each stage pool that has waiting or running work
// on this instance, and the load of each engine pool with running requests.
func (i *Instance) runDepthLog(ctx context.Context) error {
	for pause(ctx, logInterval) {
		now := time.Now()
		for _, pool := range i.coordinator.Batches.Queries().Pools() {
			depth := i.coordinator.Batches.Queries().PoolStatus(pool, now)
			if depth.WaitingPieces == 0 && depth.BusyServers == 0 {
				continue
			}
			i.Logger.Write(event.PoolDepth, pool, depth.WaitingPieces, depth.Servers, depth.BusyServers, depth.ExpectedWait.Milliseconds(), depth.UsedMemoryShare, i.coordinator.Queries().JobCount())
		}
		for _, s := range i.engineStatuses(now) {
			if s.Running > 0 {
				i.Logger.Write(event.EnginePool, s.Pool, s.Engines, s.Running, s.PendingTokens, s.SlowestTokensPerMs, s.MedianTokensPerMs, s.FastestTokensPerMs, s.MemoryShare)
			}
		}
	}
	return nil
}

// recordLatency adds an attempt to the histograms of its route, if it has a route.
func (i *Instance) recordLatency(attempt delivery.Attempt, result delivery.Result) {
	if result.Route == "" {
		return
	}
	i.latencies.attempts.Record(result.Route, time.Since(attempt.ArrivedAt))
	if result.TimeToFirstEvent > 0 {
		i.latencies.firstEvents.Record(result.Route, result.TimeToFirstEvent)
	}
}

// reportPanic counts and logs a panic in the handler of an attempt.
func (i *Instance) reportPanic(attempt string, cause any) {
	i.coordinationCounts.Add("panics")
	i.Logger.WritePanic("attempt "+attempt, cause)
}

// reportAttempt counts and logs how an attempt ended.
func (i *Instance) reportAttempt(attempt delivery.Attempt, result delivery.Result, status int) {
	took := time.Since(attempt.ArrivedAt).Milliseconds()
	i.recordLatency(attempt, result)
	i.recordEnd(attempt, result)
	version := i.routes.Queries().Current().Version
	if result.Failure == nil {
		if i.attemptLog.served.Add(1) <= maxServedLines {
			i.Logger.Write(event.AttemptServed, attempt.ID, result.Route, result.Pool, result.Server, result.Tries, took, status, version)
		}
		return
	}
	i.refusals.Add(string(result.Failure.Reason))
	i.Logger.Write(event.AttemptFailed, attempt.ID, result.Route, result.Pool, result.Server, result.Tries, took, status, version,
		string(result.Failure.Reason), result.Failure.Detail, result.Failure.Sent)
}
