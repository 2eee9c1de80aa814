//go:build review

package main

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// For lostTime, the store carries out writes without an answer, lateTime after they
	// were sent: of each worker the last one in that time, which is one in three or four.
	lostTime = 4500 * time.Millisecond
	lateTime = 5900 * time.Millisecond
	// stableTime is the time from the end of lostTime until the workers leave. It is longer
	// than stableWindowMs, so that the store counts as stable.
	stableTime = 3050 * time.Millisecond
	// leavers is the number of workers that are replaced, one every replaceInterval.
	leavers         = 2
	replaceInterval = 760 * time.Millisecond
	// cycleTime is the time from the start of lostTime to the next one.
	cycleTime = 16 * time.Second
	cycles    = 6
	// beatsLoad is the load of the service in requests per second, as in the agency's site.
	beatsLoad = 19.5
)

func init() { cases["beats"] = playBeats }

// playBeats checks that no instance in touch sends requests to a worker later than
// drainLimit after the worker reported that it is draining, while the store carries out
// an earlier write of the worker late.
func playBeats(ctx context.Context, s *site) ([]string, error) {
	l, current, err := s.newRegistry(beatsLoad)
	if err != nil {
		return nil, err
	}
	if err := s.start(ctx, instances); err != nil {
		return nil, err
	}
	playing, stop := context.WithCancel(ctx)
	defer stop()
	var group sync.WaitGroup
	group.Go(func() { s.balance(playing) })
	group.Go(func() { l.clients.run(playing) })
	pause(playing, settleTime)
	for range cycles {
		began := time.Now()
		var lost atomic.Int64
		for _, w := range current {
			w.setLateWrite(func() time.Duration {
				since := time.Since(began)
				if !isTroubled() || since > lostTime || since+heartbeatInterval <= lostTime {
					return 0
				}
				lost.Add(1)
				return lateTime
			})
		}
		pause(playing, lostTime)
		s.record.write("the store answers all writes again; %d were lost", lost.Load())
		pause(playing, time.Until(began.Add(lostTime+stableTime)))
		for range leavers {
			next, err := l.add(s)
			if err != nil {
				return nil, err
			}
			l.leave(current[0], (*worker).drain)
			current = append(current[1:], next)
			pause(playing, replaceInterval)
		}
		pause(playing, time.Until(began.Add(cycleTime)))
	}
	stop()
	group.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.late, ctx.Err()
}
