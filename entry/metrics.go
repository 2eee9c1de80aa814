package entry

import (
	"math"
	"slices"
	"time"

	"lycheecrank.example/counter"
	"lycheecrank.example/fleet"
	"lycheecrank.example/intake"
	"lycheecrank.example/membership"
	"lycheecrank.example/platform"
	"lycheecrank.example/quarantine"
	"lycheecrank.example/rollout"
)

// histograms holds the latencies that are served with the counters.
type histograms struct {
	// attempts holds the durations of attempts, firstEvents the times to the first
	// event of streams, both by route and from the arrival of the request.
	attempts    *counter.Histograms
	firstEvents *counter.Histograms
	// preparations holds the durations of the preparations by this instance as
	// coordinator, stageCalls those of its stage calls, both by pool.
	preparations *counter.Histograms
	stageCalls   *counter.Histograms
}

func newHistograms() histograms {
	return histograms{
		attempts:     counter.NewHistograms("answerMs"),
		firstEvents:  counter.NewHistograms("firstEventMs"),
		preparations: counter.NewHistograms("preparationMs"),
		stageCalls:   counter.NewHistograms("stageCallMs"),
	}
}

// instanceStatus is the state of the instance, and that of the configuration, the
// servers and the other instances according to it.
type instanceStatus struct {
	ConfigurationVersion int64 `json:"configurationVersion"`
	ConfigurationAgeMs   int64 `json:"configurationAgeMs"`
	ServersAgeMs         int64 `json:"serversAgeMs"`
	// StoreEra is the latest era of the store that the instance knows, 0 if it names none.
	StoreEra           uint64                  `json:"storeEra"`
	Cells              []string                `json:"cells"`
	Cell               string                  `json:"cell"`
	Leader             string                  `json:"leader"`
	Coordinator        string                  `json:"coordinator"`
	IsCoordinator      bool                    `json:"isCoordinator"`
	IsReady            bool                    `json:"isReady"`
	IsLeaving          bool                    `json:"isLeaving"`
	KnownInstances     int                     `json:"knownInstances"`
	ReachableInstances int                     `json:"reachableInstances"`
	Servers            map[string]fleet.States `json:"servers"`
	Queues             []queueStatus           `json:"queues"`
	Engines            []engineStatus          `json:"engines"`
	// InPreparation is the number of requests that this instance prepares, InFlight the
	// number of client attempts in progress.
	InPreparation int   `json:"inPreparation"`
	InFlight      int64 `json:"inFlight"`
	// Quarantine holds the quarantined parts of prompts.
	Quarantine []quarantine.Status `json:"quarantine"`
	// Rollouts holds the rollouts by pool.
	Rollouts []rollout.Status `json:"rollouts"`
	// Intake is the account of memory and connections.
	Intake intake.Status `json:"intake"`
}

// queueStatus is the state of the queue of a stage pool on this instance.
type queueStatus struct {
	Pool              string  `json:"pool"`
	Waiting           int     `json:"waiting"`
	Servers           int     `json:"servers"`
	Busy              int     `json:"busy"`
	DelayMs           int64   `json:"delayMs"`
	ResultMemoryShare float64 `json:"roomTaken"`
}

// engineStatus is the state of an engine pool according to this instance as coordinator.
type engineStatus struct {
	Pool          string `json:"pool"`
	Engines       int    `json:"engines"`
	Running       int    `json:"running"`
	PendingTokens int64  `json:"pendingTokens"`
	// The expected prefill speeds of the engines, in tokens per millisecond.
	SlowestTokensPerMs float64 `json:"slowestTokensPerMs"`
	MedianTokensPerMs  float64 `json:"medianTokensPerMs"`
	FastestTokensPerMs float64 `json:"fastestTokensPerMs"`
	// MemoryShare is the largest share of an engine's memory that its running requests
	// may need.
	MemoryShare float64 `json:"memoryShare"`
}

func (i *Instance) engineStatuses(now time.Time) []engineStatus {
	engines := i.coordinator.Engines.Queries()
	var statuses []engineStatus
	for _, pool := range engines.Pools() {
		s := engineStatus{Pool: pool}
		memory := engines.MemoryTokens(pool)
		var speeds []float64
		for _, l := range engines.Loads(pool, now) {
			s.Engines++
			s.Running += l.RunningRequests
			s.PendingTokens += l.PendingPrefill
			speeds = append(speeds, math.Round(l.TokensPerMs*10)/10)
			if memory > 0 {
				s.MemoryShare = max(s.MemoryShare, float64(l.HeldTokens)/float64(memory))
			}
		}
		if len(speeds) > 0 {
			slices.Sort(speeds)
			s.SlowestTokensPerMs, s.MedianTokensPerMs, s.FastestTokensPerMs = speeds[0], speeds[len(speeds)/2], speeds[len(speeds)-1]
		}
		statuses = append(statuses, s)
	}
	return statuses
}

func (i *Instance) status() instanceStatus {
	now := time.Now()
	view := i.view()
	coordinator := view.Coordinator(i.ownScope(), now)
	status := instanceStatus{
		ConfigurationVersion: int64(i.routes.Queries().Current().Version),
		ConfigurationAgeMs:   i.routes.Queries().Age(now).Milliseconds(),
		StoreEra:             i.storeEra(),
		Cells:                i.division.Load().layout.Cells(),
		Cell:                 i.ownCell(),
		Leader:               view.Coordinator(membership.Scope{}, now).Name,
		Coordinator:          coordinator.Name,
		IsCoordinator:        coordinator.Name == i.Settings.Name,
		IsReady:              i.isReady(),
		IsLeaving:            i.isLeaving(),
		KnownInstances:       len(view.Known()),
		ReachableInstances:   len(view.Reachable(now)),
		Servers:              i.fleet.Queries().States(now),
		InPreparation:        i.coordinator.Queries().JobCount(),
		InFlight:             int64(i.attempts.Queries().Count()),
		Engines:              i.engineStatuses(now),
		Quarantine:           i.quarantine.Queries().Statuses(now),
		Rollouts:             i.rollouts.Queries().Statuses(now),
		Intake:               i.intake.Queries().Status(),
	}
	for _, p := range i.positions() {
		if p.Stream == platform.ServerStream {
			status.ServersAgeMs = p.AgeMs
		}
	}
	for _, pool := range i.coordinator.Batches.Queries().Pools() {
		depth := i.coordinator.Batches.Queries().PoolStatus(pool, now)
		status.Queues = append(status.Queues, queueStatus{
			Pool: pool, Waiting: depth.WaitingPieces, Servers: depth.Servers, Busy: depth.BusyServers,
			DelayMs: depth.ExpectedWait.Milliseconds(), ResultMemoryShare: depth.UsedMemoryShare,
		})
	}
	return status
}
