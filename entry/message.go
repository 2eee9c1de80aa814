package entry

import (
	"time"

	"lycheecrank.example/engine"
	"lycheecrank.example/feed"
	"lycheecrank.example/membership"
)

// The subjects of questions between instances.
const (
	heartbeatSubject = "heartbeat"
	prepareSubject   = "prepare"
	noticeSubject    = "notice"
)

// position says how far an instance's copy of a stream reaches and how old its
// last confirmation is.
type position struct {
	Stream string `msgpack:"stream"`
	End    uint64 `msgpack:"end"`
	AgeMs  int64  `msgpack:"ageMs"`
}

// heartbeat is what instances tell each other all the time; its answer is alike.
type heartbeat struct {
	Self      membership.Instance   `msgpack:"self"`
	Known     []membership.Instance `msgpack:"known,omitempty"`
	Positions []position            `msgpack:"positions"`
	// WantsRecords asks for the records that this instance lacks. Not every question
	// asks, since all candidates would answer with the same records.
	WantsRecords bool `msgpack:"wantsRecords,omitempty"`
	// Missing are the records that the other instance lacks, in an answer.
	Missing []streamRecords `msgpack:"missing,omitempty"`
}

// streamRecords completes a copy of a stream that reaches From.
type streamRecords struct {
	Stream  string        `msgpack:"stream"`
	From    uint64        `msgpack:"from"`
	Records []feed.Record `msgpack:"records"`
	End     uint64        `msgpack:"end"`
}

// noticeKind says what became of a prepared request.
type noticeKind int

// The kinds of notices.
const (
	startedNotice noticeKind = iota + 1
	endedNotice
	refusedNotice
	failedNotice
	abandonedNotice
	// runningNotice tells a new coordinator of a request that runs already.
	runningNotice
	// readNotice tells a new coordinator of a prompt that an engine has read.
	readNotice
)

// notice tells the coordinator what became of a prepared request.
type notice struct {
	Kind    noticeKind    `msgpack:"kind"`
	Pool    string        `msgpack:"pool"`
	Server  string        `msgpack:"server"`
	Request string        `msgpack:"request"`
	Try     int           `msgpack:"try,omitempty"`
	Took    time.Duration `msgpack:"took,omitempty"`
	Prompt  engine.Prompt `msgpack:"prompt,omitempty"`
}
