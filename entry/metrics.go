package entry

import (
	"time"

	"lycheecrank.example/counter"
	"lycheecrank.example/fleet"
	"lycheecrank.example/platform"
)

// histograms are the latencies that are served with the counters.
type histograms struct {
	// answers are the times until attempts ended, firstEvents those until streams
	// began, both by route and from the arrival of the request.
	answers     *counter.Histograms
	firstEvents *counter.Histograms
	// preparations are the times of preparations here, calls those of calls of
	// stages, both by pool.
	preparations *counter.Histograms
	calls        *counter.Histograms
}

func newHistograms() histograms {
	return histograms{
		answers:      counter.NewHistograms("answerMs"),
		firstEvents:  counter.NewHistograms("firstEventMs"),
		preparations: counter.NewHistograms("preparationMs"),
		calls:        counter.NewHistograms("stageCallMs"),
	}
}

// beliefs is what the instance takes for true at the moment, with its age.
type beliefs struct {
	ConfigurationVersion int64                   `json:"configurationVersion"`
	ConfigurationAgeMs   int64                   `json:"configurationAgeMs"`
	ServersAgeMs         int64                   `json:"serversAgeMs"`
	Coordinator          string                  `json:"coordinator"`
	IsCoordinator        bool                    `json:"isCoordinator"`
	IsReady              bool                    `json:"isReady"`
	IsLeaving            bool                    `json:"isLeaving"`
	KnownInstances       int                     `json:"knownInstances"`
	ReachableInstances   int                     `json:"reachableInstances"`
	Servers              map[string]fleet.States `json:"servers"`
	Queues               []queue                 `json:"queues"`
	// InPreparation is the number of requests that are prepared here, InFlight that
	// of the attempts of clients.
	InPreparation int   `json:"inPreparation"`
	InFlight      int64 `json:"inFlight"`
}

// queue is what waits at a pool of stages here.
type queue struct {
	Pool      string  `json:"pool"`
	Waiting   int     `json:"waiting"`
	Servers   int     `json:"servers"`
	Busy      int     `json:"busy"`
	DelayMs   int64   `json:"delayMs"`
	RoomTaken float64 `json:"roomTaken"`
}

// beliefs returns what the instance takes for true.
func (i *Instance) beliefs() beliefs {
	now := time.Now()
	v := i.view()
	coordinator := v.Coordinator(now)
	b := beliefs{
		ConfigurationVersion: int64(i.routes.Queries().Current().Version),
		ConfigurationAgeMs:   i.routes.Queries().Age(now).Milliseconds(),
		Coordinator:          coordinator.Name,
		IsCoordinator:        coordinator.Name == i.Settings.Name,
		IsReady:              i.isReady(),
		IsLeaving:            i.isLeaving(),
		KnownInstances:       len(v.Known()),
		ReachableInstances:   len(v.Reachable(now)),
		Servers:              i.fleet.Queries().States(now),
		InPreparation:        i.prepared.Queries().JobCount(),
		InFlight:             i.report.inFlight.Load(),
	}
	for _, p := range i.positions() {
		if p.Stream == platform.Servers {
			b.ServersAgeMs = p.AgeMs
		}
	}
	for _, pool := range i.prepared.Batches.Queries().Pools() {
		d := i.prepared.Batches.Queries().Depth(pool, now)
		b.Queues = append(b.Queues, queue{
			Pool: pool, Waiting: d.Waiting, Servers: d.Servers, Busy: d.Busy,
			DelayMs: d.Delay.Milliseconds(), RoomTaken: d.RoomTaken,
		})
	}
	return b
}
