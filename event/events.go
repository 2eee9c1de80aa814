package event

import "github.com/phuslu/log"

// The events by number: 1xx life of the process, 2xx catalogue, 3xx peers,
// 4xx requests, 5xx backend servers, 6xx ownership, 7xx claims, 8xx precedence.
var (
	Started              = Event{101, log.InfoLevel, "started", []string{"version", "callerAddress", "peerAddress"}, "The instance accepts connections."}
	Leaving              = Event{102, log.InfoLevel, "leaving", []string{"reason"}, "The instance finishes its requests and takes no new ones after the balancer's lag."}
	Stopped              = Event{103, log.InfoLevel, "stopped", []string{"inFlight"}, "The instance has stopped; inFlight is the number of requests cut off, 0 for a graceful stop."}
	EntryStarted         = Event{105, log.InfoLevel, "entry instance started", []string{"version", "front", "peers", "dataCentre"}, "The instance on the users' platform listens; it is ready once it has a configuration."}
	Resumed              = Event{106, log.WarnLevel, "resumed after a break", []string{"brokeMs"}, "The process or its machine stood still; what it knows is doubted and it comes last in the choice of the coordinator."}
	MetricsUnavailable   = Event{107, log.WarnLevel, "metrics unavailable", []string{"address", "error"}, "The address for counters could not be used; the instance serves without them."}
	LinesDropped         = Event{108, log.InfoLevel, "lines dropped", []string{"count"}, "More attempts were served in a second than lines are written for; those of failed attempts were all written."}
	SettingsAdopted      = Event{109, log.InfoLevel, "settings adopted", []string{"seeds", "graceMs", "retryRatio", "retrySlack"}, "The settings have changed; what can change without a start is in force."}
	SettingsRefused      = Event{110, log.WarnLevel, "settings refused", []string{"error"}, "A signal announced settings that can't be used; the former ones stay in force."}
	SteppedDown          = Event{111, log.WarnLevel, "stepped down", []string{"lagMs"}, "This coordinator runs too slowly and leaves the work to the next candidate."}
	ListUnavailable      = Event{104, log.WarnLevel, "instance list unavailable", []string{"error"}, "The platform's list of instances did not answer; the last list stays in use."}
	CatalogueAdopted     = Event{201, log.InfoLevel, "catalogue adopted", []string{"revision", "entries", "source"}, "A newer revision of the catalogue is in force on this instance."}
	CatalogueRefused     = Event{202, log.InfoLevel, "catalogue edit refused", []string{"offset", "author", "verdict", "detail"}, "An edit in the log was refused; every instance refuses it alike."}
	LogUnavailable       = Event{203, log.WarnLevel, "log unavailable", []string{"stream", "error"}, "The platform's log does not answer; written once an outage, see the outage table in docs/OPERATIONS.md."}
	LogRecordUnread      = Event{204, log.ErrorLevel, "log record unreadable", []string{"stream", "offset", "error"}, "A record of the log could not be decoded and was passed over."}
	CatalogueSnapshot    = Event{205, log.InfoLevel, "catalogue snapshot appended", []string{"through"}, "A snapshot of the catalogue was appended before its records expire."}
	LogAvailable         = Event{206, log.InfoLevel, "log available", []string{"stream"}, "The platform's log answers again after an outage."}
	ConfigurationAdopted = Event{207, log.InfoLevel, "configuration adopted", []string{"version", "offset", "pools"}, "A newer configuration of the users' platform is in force on this instance."}
	Evacuation           = Event{208, log.InfoLevel, "evacuation", []string{"dataCentre", "isEvacuated", "offset"}, "Operators evacuated a data centre or took it back; its backend servers get nothing new while it is evacuated."}
	PeerConnected        = Event{301, log.InfoLevel, "peer connected", []string{"peer", "dataCentre"}, "A connection to another instance is open."}
	PeerLost             = Event{302, log.WarnLevel, "peer lost", []string{"peer", "error"}, "A connection to another instance has failed."}
	PeerFrameRefused     = Event{303, log.WarnLevel, "peer frame refused", []string{"remote", "error"}, "A connection sent a frame that is no message and was closed."}
	CoordinatorChosen    = Event{304, log.InfoLevel, "coordinator chosen", []string{"coordinator", "fitSince", "reachable", "known"}, "Another instance, or this one, prepares requests from now on as far as this instance sees."}
	RequestRefused       = Event{401, log.DebugLevel, "request refused", []string{"request", "workspace", "reason", "detail"}, "A request was refused; the reason is a code of docs/OPERATIONS.md."}
	RequestFinished      = Event{402, log.DebugLevel, "request finished", []string{"request", "workspace", "class", "outcome"}, "A request has its outcome."}
	ResultDropped        = Event{403, log.WarnLevel, "result dropped", []string{"request", "stage", "attempt", "reason"}, "A backend server answered with a late, doubled, foreign or truncated result."}
	AttemptServed        = Event{404, log.InfoLevel, "attempt served", []string{"request", "route", "pool", "backendServer", "tries", "ms", "status", "configuration"}, "An attempt of a client got the answer of a backend server."}
	AttemptFailed        = Event{405, log.InfoLevel, "attempt failed", []string{"request", "route", "pool", "backendServer", "tries", "ms", "status", "configuration", "reason", "detail", "sent"}, "An attempt of a client was refused or failed; sent tells whether it may have run, status 0 that its answer was cut."}
	ResultsRebuilt       = Event{406, log.InfoLevel, "results rebuilt", []string{"request", "stage", "piece", "pool", "backendServer", "ageMs", "inputs"}, "A server found results of an earlier stage gone; the coordinator has them made again. ageMs is how long the piece waited."}
	RequestPlaced        = Event{407, log.InfoLevel, "request placed", []string{"request", "pool", "backendServer", "dataCentre", "waitedMs", "rank", "results", "source", "try"}, "The coordinator has had the results of a request made and chosen its engine."}
	RequestTurnedAway    = Event{408, log.InfoLevel, "request turned away", []string{"request", "pool", "rank", "waitedMs", "leftMs", "reason", "detail"}, "The coordinator refused a request before anything was sent to an engine."}
	AttemptRetried       = Event{409, log.InfoLevel, "attempt retried", []string{"request", "reason", "tries"}, "A send failed and the request goes to another server or is prepared again; the reason says why."}
	ServerCold           = Event{501, log.WarnLevel, "backend server cold", []string{"backendServer", "reason"}, "A backend server is treated as cold and gets its cold limit only."}
	ServerWarm           = Event{502, log.InfoLevel, "backend server warm", []string{"backendServer"}, "A backend server has reached its full limit."}
	ServerLeaving        = Event{503, log.InfoLevel, "backend server leaving", []string{"backendServer"}, "A backend server is leaving and gets no new work."}
	StageCallFailed      = Event{504, log.WarnLevel, "stage call failed", []string{"pool", "backendServer", "pieces", "ms", "error"}, "A call of a stage failed as a whole; its pieces are made by other servers."}
	ServerListed         = Event{505, log.InfoLevel, "backend server listed", []string{"backendServer", "pool", "address", "dataCentre", "isDraining", "offset"}, "The entry of a backend server is new or has changed."}
	ServerUnlisted       = Event{506, log.InfoLevel, "backend server unlisted", []string{"backendServer", "isLapse"}, "The entry of a backend server is gone; a lapse may only mean that the store was away."}
	PoolDepth            = Event{507, log.InfoLevel, "pool depth", []string{"pool", "waiting", "servers", "busy", "delayMs", "roomTaken", "jobs"}, "Once a second on the coordinator while pieces wait: how much waits at a pool of stages and how long it will take."}
	OwnershipTaken       = Event{601, log.InfoLevel, "ownership taken", []string{"pool", "dataCentre", "term"}, "This instance dispatches for a pool of its data centre."}
	OwnershipLost        = Event{602, log.WarnLevel, "ownership lost", []string{"pool", "dataCentre", "term"}, "Another instance dispatches for the pool now."}
	OwnershipReleased    = Event{604, log.InfoLevel, "ownership released", []string{"pool", "dataCentre", "term"}, "This instance leaves and has handed the pool over."}
	LeaseExpired         = Event{603, log.WarnLevel, "ownership lease expired", []string{"age"}, "The ownership lease ran out because the log did not answer; cold servers get nothing."}
	ClaimUndecided       = Event{701, log.WarnLevel, "claim undecided", []string{"key", "error"}, "A claim could not be read back, so its request was refused as not run."}
	DecisionBatch        = Event{802, log.InfoLevel, "decision records", []string{"records", "first", "last", "data"}, "Signed records of decisions on this instance, for lycheectl precedence; the store of the users' platform has the end of the chain."}
	PrecedenceOverflow   = Event{801, log.ErrorLevel, "precedence records lost", []string{"count"}, "The buffer of decision records overflowed during an outage; a gap record tells the number."}
	DecisionsUnsealed    = Event{803, log.ErrorLevel, "decision records not sealed", []string{"first", "error"}, "Records of decisions could not be encoded or signed; they are kept and tried again. It shows a fault of the program."}
)

// All returns every event by number.
func All() []Event {
	return []Event{
		Started, Leaving, Stopped, ListUnavailable, EntryStarted, Resumed, MetricsUnavailable, LinesDropped, SettingsAdopted, SettingsRefused, SteppedDown,
		CatalogueAdopted, CatalogueRefused, LogUnavailable, LogRecordUnread, CatalogueSnapshot, LogAvailable, ConfigurationAdopted, Evacuation,
		PeerConnected, PeerLost, PeerFrameRefused, CoordinatorChosen,
		RequestRefused, RequestFinished, ResultDropped, AttemptServed, AttemptFailed, ResultsRebuilt, RequestPlaced, RequestTurnedAway, AttemptRetried,
		ServerCold, ServerWarm, ServerLeaving, StageCallFailed, ServerListed, ServerUnlisted, PoolDepth,
		OwnershipTaken, OwnershipLost, OwnershipReleased, LeaseExpired,
		ClaimUndecided, PrecedenceOverflow, DecisionsUnsealed, DecisionBatch,
	}
}
