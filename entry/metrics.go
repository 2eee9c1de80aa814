package entry

import (
	"time"

	"lycheecrank.example/counter"
	"lycheecrank.example/fleet"
	"lycheecrank.example/intake"
	"lycheecrank.example/membership"
	"lycheecrank.example/platform"
	"lycheecrank.example/quarantine"
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
	ConfigurationVersion int64                   `json:"configurationVersion"`
	ConfigurationAgeMs   int64                   `json:"configurationAgeMs"`
	ServersAgeMs         int64                   `json:"serversAgeMs"`
	Cells                []string                `json:"cells"`
	Cell                 string                  `json:"cell"`
	Leader               string                  `json:"leader"`
	Coordinator          string                  `json:"coordinator"`
	IsCoordinator        bool                    `json:"isCoordinator"`
	IsReady              bool                    `json:"isReady"`
	IsLeaving            bool                    `json:"isLeaving"`
	KnownInstances       int                     `json:"knownInstances"`
	ReachableInstances   int                     `json:"reachableInstances"`
	Servers              map[string]fleet.States `json:"servers"`
	Queues               []queueStatus           `json:"queues"`
	// InPreparation is the number of requests that this instance prepares, InFlight the
	// number of client attempts in progress.
	InPreparation int   `json:"inPreparation"`
	InFlight      int64 `json:"inFlight"`
	// Quarantine holds the quarantined parts of prompts.
	Quarantine []quarantine.Status `json:"quarantine"`
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

func (i *Instance) status() instanceStatus {
	now := time.Now()
	view := i.view()
	coordinator := view.Coordinator(i.ownScope(), now)
	status := instanceStatus{
		ConfigurationVersion: int64(i.routes.Queries().Current().Version),
		ConfigurationAgeMs:   i.routes.Queries().Age(now).Milliseconds(),
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
		InFlight:             i.attemptLog.inFlight.Load(),
		Quarantine:           i.quarantine.Queries().Statuses(now),
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
