package entry

import (
	"time"

	"lycheecrank.example/engine"
	"lycheecrank.example/feed"
	"lycheecrank.example/fleet"
	"lycheecrank.example/membership"
	"lycheecrank.example/preparation"
	"lycheecrank.example/quarantine"
	"lycheecrank.example/rollout"
	"lycheecrank.example/speed"
)

// The subjects of messages between instances.
const (
	heartbeatSubject = "heartbeat"
	prepareSubject   = "prepare"
	noticeSubject    = "notice"
)

// position is the end of an instance's copy of a stream, and the age of the copy: the
// time since the last time for which it is confirmed (see the package comment).
type position struct {
	Stream string `msgpack:"stream"`
	// Era is the era of the store that End belongs to.
	Era   uint64 `msgpack:"era,omitempty"`
	End   uint64 `msgpack:"end"`
	AgeMs int64  `msgpack:"ageMs"`
}

func (p position) end() feed.Position { return feed.Position{Era: p.Era, Offset: p.End} }

// heartbeat is the message that instances send each other regularly, and the reply to
// it.
type heartbeat struct {
	Self      membership.Instance   `msgpack:"self"`
	Known     []membership.Instance `msgpack:"known,omitempty"`
	Positions []position            `msgpack:"positions"`
	// WantsRecords asks for the records that the sender lacks. Only some heartbeats ask
	// for them, because all candidates would reply with the same records.
	WantsRecords bool `msgpack:"wantsRecords,omitempty"`
	// Missing is set in replies to heartbeats with WantsRecords. It holds the records
	// that the receiver of the reply lacks.
	Missing []streamRecords `msgpack:"missing,omitempty"`
	// Leaving holds the processes of backend servers that have said that they are leaving.
	// It is set in replies to instances that have just started: the entries that they read
	// may say otherwise.
	Leaving []fleet.Process `msgpack:"leaving,omitempty"`
	// SinceReadFailureMs is the time since a read of the store by the sender failed last, 0
	// if none has.
	SinceReadFailureMs int64 `msgpack:"sinceReadFailureMs,omitempty"`
	// QuarantineDigest identifies the quarantine entries of the sender, and IsCandidate
	// is set if the sender is a candidate for coordinator, which needs all crashes.
	QuarantineDigest uint64 `msgpack:"quarantineDigest,omitempty"`
	IsCandidate      bool   `msgpack:"isCandidate,omitempty"`
	// Quarantine holds what the receiver may lack.
	Quarantine quarantine.Update `msgpack:"quarantine,omitempty"`
	// Rollouts holds what the sender knows of rollouts, nil if there is none in progress.
	Rollouts *rolloutUpdate `msgpack:"rollouts,omitempty"`
}

// rolloutUpdate is what instances tell each other about rollouts.
type rolloutUpdate struct {
	States []rollout.State `msgpack:"states,omitempty"`
	// AgeMs is the time since the last time for which the sender's states are confirmed.
	AgeMs int64 `msgpack:"ageMs"`
	// Evidence is what the sender itself has seen. Replies have none.
	Evidence []rollout.Evidence `msgpack:"evidence,omitempty"`
}

// streamRecords holds the records of a stream in an era of the store, with offsets from From
// up to, but not including, End.
type streamRecords struct {
	Stream  string        `msgpack:"stream"`
	Era     uint64        `msgpack:"era,omitempty"`
	From    uint64        `msgpack:"from"`
	Records []feed.Record `msgpack:"records"`
	End     uint64        `msgpack:"end"`
}

func newStreamRecords(stream string, b feed.Batch) streamRecords {
	return streamRecords{Stream: stream, Era: b.Era, From: b.From, Records: b.Records, End: b.End}
}

func (r streamRecords) batch() feed.Batch {
	return feed.Batch{Era: r.Era, From: r.From, End: r.End, Records: r.Records}
}

// prepareReply is the reply of a coordinator to a task.
type prepareReply struct {
	Placement preparation.Placement `msgpack:"placement"`
	// Coordinator is the coordinator of the cell according to the replying instance.
	Coordinator membership.Instance `msgpack:"coordinator"`
}

// noticeKind is the event that a notice is about.
type noticeKind int

// The kinds of notices.
const (
	startedNotice noticeKind = iota + 1
	endedNotice
	refusedNotice
	failedNotice
	abandonedNotice
	// runningNotice notifies a new coordinator of a request that is already running.
	runningNotice
	// promptReadNotice notifies a new coordinator of a prompt that an engine has read.
	promptReadNotice
	// remoteReadNotice notifies the coordinator of another cell of a prompt that an
	// engine of the sender's cell reads.
	remoteReadNotice
	// leavingNotice notifies the coordinator of a server that said that it is leaving.
	leavingNotice
	// answerByNotice notifies the coordinator that the sender exits and must answer
	// requests before.
	answerByNotice
)

// notice notifies the coordinator of an event of a prepared request.
type notice struct {
	Kind      noticeKind `msgpack:"kind"`
	Pool      string     `msgpack:"pool"`
	Server    string     `msgpack:"server"`
	RequestID string     `msgpack:"request"`
	Try       int        `msgpack:"try,omitempty"`
	// RequestIDs are the requests of an answer by notice.
	RequestIDs       []string      `msgpack:"requests,omitempty"`
	TimeToFirstEvent time.Duration `msgpack:"took,omitempty"`
	Prompt           engine.Prompt `msgpack:"prompt,omitempty"`
	// Load is the load that the server reported with its answer to the request, and
	// LoadAge the time since then, in a notice about the first event or the end of a run.
	Load    speed.Report  `msgpack:"load,omitempty"`
	LoadAge time.Duration `msgpack:"loadAge,omitempty"`
	// Remaining is the time until the request has ended at the latest, in a running notice,
	// or until the sender answers the requests at the latest, in an answer by notice.
	Remaining time.Duration `msgpack:"remaining,omitempty"`
	// HasBegun is set in a running or prompt read notice if the engine has begun its
	// answer.
	HasBegun bool `msgpack:"hasBegun,omitempty"`
	// Leaving is the process that is leaving, in a leaving notice.
	Leaving *fleet.Process `msgpack:"leaving,omitempty"`
}
