package event

import "github.com/phuslu/log"

// The events by number: 1xx process life cycle, 2xx catalogue, 3xx peers,
// 4xx requests, 5xx backend servers, 6xx ownership, 7xx claims, 8xx precedence.
//
// An attempt is one request as sent by a client; a client that repeats its request
// makes another attempt. A try is one of the times that an attempt is prepared or sent
// to a server; an attempt has more than one try if the instance retries it. The field
// attempt of 403 is the number of an attempt of a step.
var (
	Started                   = Event{101, log.InfoLevel, "started", []string{"version", "callerAddress", "peerAddress"}, "The instance accepts connections."}
	Leaving                   = Event{102, log.InfoLevel, "leaving", []string{"reason"}, "The instance is shutting down: it finishes its requests and rejects new ones once the load balancer has had time to stop sending them."}
	Stopped                   = Event{103, log.InfoLevel, "stopped", []string{"inFlight"}, "The instance has stopped; inFlight is the number of requests and steps cut off, or of the attempts of clients on an entry instance of the users' platform, 0 for a graceful stop."}
	EntryStarted              = Event{105, log.InfoLevel, "entry instance started", []string{"version", "front", "peers", "dataCentre"}, "An entry instance, which accepts the requests of clients on the users' platform, accepts connections; it becomes ready when it has a configuration."}
	ResumedAfterBreak         = Event{106, log.WarnLevel, "resumed after a break", []string{"brokeMs"}, "The process or its machine was paused for brokeMs; the instance treats its tables as stale and has the lowest preference in the choice of the coordinator."}
	MetricsUnavailable        = Event{107, log.WarnLevel, "metrics unavailable", []string{"address", "error"}, "The instance could not listen on the metrics address; it serves requests without publishing metrics."}
	LogLinesDropped           = Event{108, log.InfoLevel, "lines dropped", []string{"count"}, "Log lines were dropped in the last second, because there were more lines about served attempts than their limit, or because the log buffer was full; lines about failed attempts have no limit and don't count towards it."}
	SettingsApplied           = Event{109, log.InfoLevel, "settings adopted", []string{"seeds", "graceMs", "retryRatio", "retrySlack"}, "The settings have changed; those that can change without a restart are in force."}
	SettingsRefused           = Event{110, log.WarnLevel, "settings refused", []string{"error"}, "The settings were reloaded after a signal and are invalid; the previous settings stay in force."}
	SteppedDown               = Event{111, log.WarnLevel, "stepped down", []string{"lagMs"}, "This coordinator runs too slowly and hands its role over to the next candidate; lagMs is the delay of its heartbeats behind their schedule."}
	IntakeShort               = Event{112, log.WarnLevel, "memory for requests short", []string{"usedBytes", "memoryBytes"}, "The memory for bodies and answers is in use, and requests wait for it; logged once per shortage. memoryBytes is the part of the memory of the process that requests get, see docs/design/intake.md."}
	IntakeRecovered           = Event{113, log.InfoLevel, "memory for requests available", []string{"ms", "waited", "refused", "shed"}, "No request waits for memory any more; ms is the length of the shortage, waited, refused and shed are numbers of requests in it."}
	RequestShed               = Event{114, log.WarnLevel, "request shed", []string{"client", "class", "phase", "heldBytes", "bytesPerS"}, "A request held memory that others waited for, and its client made no progress: it was refused while its body was received (503), or its connection was closed while its answer was sent. At most five in 50 ms are logged; the counter has all."}
	InstanceListUnavailable   = Event{104, log.WarnLevel, "instance list unavailable", []string{"error"}, "The platform's list of instances could not be read; the last list stays in use."}
	CatalogueApplied          = Event{201, log.InfoLevel, "catalogue adopted", []string{"revision", "entries", "source"}, "A newer revision of the catalogue is in force on this instance."}
	CatalogueEditRefused      = Event{202, log.InfoLevel, "catalogue edit refused", []string{"offset", "author", "verdict", "detail"}, "An edit in the log was refused; every instance comes to the same verdict."}
	LogUnavailable            = Event{203, log.WarnLevel, "log unavailable", []string{"stream", "error"}, "A read from or an append to the platform's log failed; logged once per outage, and for each failed append of a catalogue snapshot; see the outage table in docs/OPERATIONS.md."}
	LogRecordUnreadable       = Event{204, log.ErrorLevel, "log record unreadable", []string{"stream", "offset", "error"}, "A record of the log could not be decoded and was skipped."}
	CatalogueSnapshotAppended = Event{205, log.InfoLevel, "catalogue snapshot appended", []string{"through"}, "A snapshot of the catalogue was appended before the older records of its stream expire; through is the offset up to which it includes the records."}
	LogAvailable              = Event{206, log.InfoLevel, "log available", []string{"stream"}, "The platform's log is available again after an outage."}
	ConfigurationApplied      = Event{207, log.InfoLevel, "configuration adopted", []string{"version", "offset", "pools"}, "A newer configuration of the users' platform is in force on this instance."}
	EvacuationChanged         = Event{208, log.InfoLevel, "evacuation", []string{"dataCentre", "isEvacuated", "offset"}, "An operator evacuated a data centre or ended its evacuation; its backend servers get no new work while it is evacuated."}
	PeerConnected             = Event{301, log.InfoLevel, "peer connected", []string{"peer", "dataCentre"}, "A connection to another instance is open."}
	PeerLost                  = Event{302, log.WarnLevel, "peer lost", []string{"peer", "error"}, "A connection to another instance has failed or could not be opened; peer is the name of the instance, or its address if the connection could not be opened."}
	PeerFrameRefused          = Event{303, log.WarnLevel, "peer frame refused", []string{"remote", "error"}, "A connection was closed because a frame received on it is not a valid message; remote is the name of the other instance if this instance dialled and the handshake had succeeded, otherwise an address."}
	CoordinatorChosen         = Event{304, log.InfoLevel, "coordinator chosen", []string{"coordinator", "fitSince", "reachable", "known"}, "The coordinator has changed according to this instance; the named instance, which may be this one, has the results of stages computed and chooses the engines for the cell of this one. fitSince is when it became eligible as coordinator; reachable and known are numbers of other instances."}
	SiteDivided               = Event{305, log.InfoLevel, "site divided", []string{"cells", "instances"}, "The division of the site into cells has changed; each cell has a coordinator of its own. A site of one cell has an empty name in the list; instances is the number of known instances."}
	RequestRefused            = Event{401, log.DebugLevel, "request refused", []string{"request", "workspace", "reason", "detail"}, "A request was refused or failed; the reason is a code of docs/OPERATIONS.md. An instance that executes pipelines of the catalogue writes it; 408 is the event of the coordinator of entry instances."}
	RequestFinished           = Event{402, log.DebugLevel, "request finished", []string{"request", "workspace", "class", "outcome"}, "A request has ended with the given outcome."}
	ResultDropped             = Event{403, log.WarnLevel, "result dropped", []string{"request", "stage", "attempt", "reason"}, "A result from a backend server was dropped because it was late, a duplicate, truncated or of another attempt."}
	AttemptServed             = Event{404, log.InfoLevel, "attempt served", []string{"request", "route", "pool", "backendServer", "tries", "ms", "status", "configuration"}, "An attempt of a client was answered by a backend server."}
	AttemptFailed             = Event{405, log.InfoLevel, "attempt failed", []string{"request", "route", "pool", "backendServer", "tries", "ms", "status", "configuration", "reason", "detail", "sent"}, "An attempt of a client was refused or failed; sent is true if it may have run, and status is 0 if its answer was truncated."}
	ResultsRebuilt            = Event{406, log.InfoLevel, "results rebuilt", []string{"request", "stage", "piece", "pool", "backendServer", "ageMs", "inputs"}, "A backend server reported that results of an earlier stage are gone; the coordinator has them recomputed. ageMs is the time that the piece has waited."}
	RequestPlaced             = Event{407, log.InfoLevel, "request placed", []string{"request", "pool", "backendServer", "dataCentre", "waitedMs", "rank", "results", "source", "try"}, "The results of all stages before the engine are computed and the coordinator has chosen the engine."}
	RequestRejected           = Event{408, log.InfoLevel, "request turned away", []string{"request", "pool", "rank", "waitedMs", "leftMs", "reason", "detail"}, "The coordinator of the entry instances refused a request before it was sent to an engine, or its preparation failed or was cancelled."}
	AttemptRetried            = Event{409, log.InfoLevel, "attempt retried", []string{"request", "reason", "tries"}, "A try of an attempt failed, and the instance prepares the request again or sends it to another server; reason is the cause."}
	AnswerBroken              = Event{410, log.InfoLevel, "answer broken", []string{"request", "route", "backendServer", "ms", "answerMs", "events", "parts", "error"}, "An engine broke off its answer, or sent none, while the client still waited. ms is the time since the send, answerMs the time from the send to the head of the answer, or -1 if there was none; events is the number of complete events, and parts are the IDs of the parts of the prompt."}
	PromptQuarantined         = Event{411, log.WarnLevel, "prompt quarantined", []string{"parts", "level", "backendServers", "requests", "since"}, "Requests whose prompt has all of these parts are refused, because engines crashed when they began to answer such requests: backendServers and requests list the crashes that count. level is 1 plus the number of probes that have crashed an engine since; since is the beginning in Unix milliseconds. The coordinator that decides and each instance that learns of it write this event."}
	QuarantineEnded           = Event{412, log.InfoLevel, "quarantine ended", []string{"parts", "succeeded", "generation"}, "Requests with all of these parts are served again, because requests with the parts in succeeded have succeeded, here or at another instance. If some parts are left, 411 follows for these. generation counts the ends for the same parts."}
	QuarantineProbed          = Event{413, log.InfoLevel, "quarantine probed", []string{"request", "parts"}, "The coordinator admits one request with quarantined parts to find out whether it still crashes its engine."}
	EngineCrashed             = Event{414, log.WarnLevel, "engine crashed", []string{"request", "backendServer", "dataCentre", "parts"}, "An engine broke off an answer that had just begun; parts are the parts of the prompt that other requests may share, of which one may be the cause. See 411."}
	ServerCold                = Event{501, log.WarnLevel, "backend server cold", []string{"backendServer", "reason"}, "A backend server is treated as cold and gets no more than its cold limit."}
	ServerWarm                = Event{502, log.InfoLevel, "backend server warm", []string{"backendServer"}, "A backend server has reached its full limit."}
	ServerLeaving             = Event{503, log.InfoLevel, "backend server leaving", []string{"backendServer"}, "A backend server is leaving and gets no new work."}
	StageCallFailed           = Event{504, log.WarnLevel, "stage call failed", []string{"pool", "backendServer", "pieces", "ms", "error"}, "A call to a stage server failed for all its pieces; they are queued again."}
	ServerListed              = Event{505, log.InfoLevel, "backend server listed", []string{"backendServer", "pool", "address", "dataCentre", "isDraining", "offset"}, "The registration of a backend server is new or has changed."}
	ServerUnlisted            = Event{506, log.InfoLevel, "backend server unlisted", []string{"backendServer", "isLapse"}, "The registration of a backend server is gone; isLapse is true if it may have expired because the store was unavailable, and false if it counts as removed."}
	PoolDepth                 = Event{507, log.InfoLevel, "pool depth", []string{"pool", "waiting", "servers", "busy", "delayMs", "roomTaken", "jobs"}, "The load of a stage pool, logged once a second by the coordinator while pieces wait or calls run there; delayMs is the expected delay, roomTaken the used share of the result memory of the servers from 0 to 1, and jobs the number of requests that the coordinator prepares for all pools."}
	ServerPaused              = Event{508, log.InfoLevel, "backend server paused", []string{"backendServer", "ms"}, "A backend server turned a request away and wants no more of this instance for ms; the instance sends it none until then."}
	OwnershipAcquired         = Event{601, log.InfoLevel, "ownership taken", []string{"pool", "dataCentre", "term"}, "This instance has acquired a pool of its data centre and dispatches for it."}
	OwnershipLost             = Event{602, log.WarnLevel, "ownership lost", []string{"pool", "dataCentre", "term"}, "Another instance has acquired the pool and dispatches for it."}
	OwnershipReleased         = Event{604, log.InfoLevel, "ownership released", []string{"pool", "dataCentre", "term"}, "This instance is leaving and has released the pool."}
	OwnershipLeaseExpired     = Event{603, log.WarnLevel, "ownership lease expired", []string{"age"}, "All ownership leases of this instance expired because they could not be renewed in the log; the cold servers of its pools get no work. age is the time in milliseconds since the last renewal."}
	ClaimUndecided            = Event{701, log.WarnLevel, "claim undecided", []string{"key", "error"}, "A claim, or the outcome of a claimed request, could not be confirmed in the log. If it was the claim, the request was refused as not run; if it was the outcome, the request has ended, but the log may never hold its outcome."}
	DecisionRecords           = Event{802, log.InfoLevel, "decision records", []string{"records", "first", "last", "data"}, "Signed decision records of this instance, the input of lycheectl precedence; data is a batch in base64, and first and last are its sequence numbers. The records form a hash chain; the store of the users' platform holds the hash of its end, so that missing records are detected."}
	PrecedenceRecordsLost     = Event{801, log.ErrorLevel, "precedence records lost", []string{"count"}, "The buffer of decision records overflowed; a gap record holds the number of lost records."}
	DecisionRecordsNotSealed  = Event{803, log.ErrorLevel, "decision records not sealed", []string{"first", "error"}, "Decision records could not be encoded or sealed; they are kept for another attempt. This is a bug in the program."}
)

// All returns every event by number.
func All() []Event {
	return []Event{
		Started, Leaving, Stopped, InstanceListUnavailable, EntryStarted, ResumedAfterBreak, MetricsUnavailable, LogLinesDropped, SettingsApplied, SettingsRefused, SteppedDown, IntakeShort, IntakeRecovered, RequestShed,
		CatalogueApplied, CatalogueEditRefused, LogUnavailable, LogRecordUnreadable, CatalogueSnapshotAppended, LogAvailable, ConfigurationApplied, EvacuationChanged,
		PeerConnected, PeerLost, PeerFrameRefused, CoordinatorChosen, SiteDivided,
		RequestRefused, RequestFinished, ResultDropped, AttemptServed, AttemptFailed, ResultsRebuilt, RequestPlaced, RequestRejected, AttemptRetried, AnswerBroken,
		PromptQuarantined, QuarantineEnded, QuarantineProbed, EngineCrashed,
		ServerCold, ServerWarm, ServerLeaving, StageCallFailed, ServerListed, ServerUnlisted, PoolDepth, ServerPaused,
		OwnershipAcquired, OwnershipLost, OwnershipReleased, OwnershipLeaseExpired,
		ClaimUndecided, PrecedenceRecordsLost, DecisionRecordsNotSealed, DecisionRecords,
	}
}
