//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// copyShare of the stage workers send copyRate of their answers a second time, for
	// copyTime, after which copyPause follows.
	copyShare = 0.6
	copyRate  = 0.03
	copyTime  = 5 * time.Second
	copyPause = time.Second
	// copiesLength is the length of the case after its start.
	copiesLength = 80 * time.Second
	stageWorkers = 5
	modelWorkers = 6
	// piecesPerRequest is the number of pieces of the stage of each request.
	piecesPerRequest = 4
)

func init() { cases["copies"] = playCopies }

// playCopies checks that no piece and no request is given the results of another request
// while some workers of a stage send a second copy of an answer late.
func playCopies(ctx context.Context, s *site) ([]string, error) {
	kept := newResults()
	var isActive atomic.Bool
	isCopied := func() bool { return isActive.Load() && rand.Float64() < copyRate }
	never := func() bool { return false }
	for n := range stageWorkers {
		decide := never
		if float64(n) < copyShare*stageWorkers {
			decide = isCopied
		}
		if _, err := s.newWorker(fmt.Sprintf("i-intake-%d", n+1), "lab-intake", n, 1, stageHandler(kept, decide)); err != nil {
			return nil, err
		}
	}
	for n := range modelWorkers {
		if _, err := s.newWorker(fmt.Sprintf("i-model-%d", n+1), "model-pool", n, 64, modelHandler(kept, 0, piecesPerRequest)); err != nil {
			return nil, err
		}
	}
	s.configure(
		[]map[string]any{{
			"name": "dossier", "host": host, "pathPrefix": "/dossier/", "kind": "streaming", "timeoutMs": 6000, "targetLatencyMs": 1000, "targetGapMs": 200,
			"priority": 1, "service": "model-pool", "maxAttempts": 1, "anonymous": false, "sessionAffinity": true, "streamResume": false,
			"stages": []map[string]any{{"service": "lab-intake", "after": []int{}, "bytes": 60000}},
		}},
		[]map[string]any{
			{
				"name": "model-pool", "healthPath": "/healthz", "maxConnections": 360, "coldStartS": 3.0, "coldPerS": 11.0,
				"engine": map[string]any{"slots": 64, "kvCapacity": 367584, "kvTokenBytes": 163840, "linkMbps": 550000.0},
			},
			{
				"name": "lab-intake", "healthPath": "/healthz", "maxConnections": 360, "coldStartS": 0.0, "coldPerS": 0.0,
				"pieces": map[string]any{
					"slots": 1, "queue": stageQueue, "batch": maxPieces, "callMs": callTime.Milliseconds(), "itemMs": itemTime.Milliseconds(),
					"headroomMb": 18.0, "handleS": resultLifetime.Seconds(), "linkMbps": 10000,
				},
			},
		},
	)
	if err := s.start(ctx, instances); err != nil {
		return nil, err
	}
	c := s.newClients(12, "/dossier/2f", 6*time.Second, func(id string) http.Header {
		return http.Header{
			"Model": {"m"}, "Token-Usage": {"1460,80"}, "Prompt-Prefix": {"5c1e07a2:800," + id[:8] + ":660"},
			"Pieces": {fmt.Sprint(piecesPerRequest)}, "Piece-Key": {id[:12]},
		}
	})
	playing, stop := context.WithTimeout(ctx, copiesLength)
	defer stop()
	var group sync.WaitGroup
	group.Go(func() { s.balance(playing) })
	group.Go(func() { c.run(playing) })
	pause(playing, settleTime)
	for isTroubled() && playing.Err() == nil {
		isActive.Store(true)
		pause(playing, copyTime)
		isActive.Store(false)
		pause(playing, copyPause)
	}
	group.Wait()
	return kept.violations(), ctx.Err()
}
