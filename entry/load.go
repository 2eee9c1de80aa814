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
// reports its slowness.
func (i *Instance) recordLoad(server, _ string, load speed.Report) {
	if load.Slowness == 0 {
		return
	}
	i.plainServers.Commands().RecordLoad(server, load, time.Now())
}
