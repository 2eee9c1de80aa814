package entry

import (
	"time"

	"lycheecrank.example/speed"
)

// recordStageLoad records the load that a stage server reports, if it reports its slowness.
func (i *Instance) recordStageLoad(server string, load speed.Report) {
	if load.Slowness == 0 {
		return
	}
	i.coordinator.Batches.Commands().RecordLoad(server, load, time.Now())
}

// recordLoad records the load that a server reports in its answer to a request, if it
// reports its slowness. The load of an engine is passed on with the notices of the run.
func (i *Instance) recordLoad(server, id string, load speed.Report) {
	if load.Slowness == 0 {
		return
	}
	now := time.Now()
	i.plainServers.Commands().RecordLoad(server, load, now)
	i.placements.recordLoad(id, load, now)
}
