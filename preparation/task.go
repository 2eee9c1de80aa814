// Package preparation gets requests ready to run on a model engine: it computes the
// results of their stages and reserves an engine. One instance at a time, the
// coordinator, does this for all requests of a site, or of a cell of a large site (see
// package cell), so that stage calls are batched well and engines are loaded evenly.
package preparation

import (
	"time"

	"lycheecrank.example/batch"
	"lycheecrank.example/engine"
	"lycheecrank.example/request"
)

// Stage is one stage of a task.
type Stage struct {
	Pool string `msgpack:"pool"`
	// After lists the indexes of the stages whose results this stage takes as inputs.
	After []int `msgpack:"after"`
	// Bytes is the approximate size of one result.
	Bytes int64 `msgpack:"bytes"`
	// Pieces is the number of pieces; a stage with 0 pieces is skipped.
	Pieces int `msgpack:"pieces"`
}

// Task describes a request to prepare.
type Task struct {
	RequestID string `msgpack:"request"`
	// Workspace is the workspace of the request, empty if its route needs no key.
	Workspace string `msgpack:"workspace,omitempty"`
	// Try numbers the preparations of the request, so that a late notice about an
	// earlier one does not end a later one.
	Try    int     `msgpack:"try"`
	Pool   string  `msgpack:"pool"`
	Stages []Stage `msgpack:"stages"`
	// Key identifies the input that the stages without preceding stages compute from.
	Key    string        `msgpack:"key"`
	Prompt engine.Prompt `msgpack:"prompt"`
	// Rank is the priority class of the request, RouteRank the priority of its route
	// within the class; 0 is served first.
	Rank      int `msgpack:"rank"`
	RouteRank int `msgpack:"routeRank"`
	// Objective is the time until the request's objective.
	//
	// Deadline is the time until the end of this try: the client disconnects if it has
	// received no event by then. It is not the deadline of the whole request.
	//
	// RetryWindow is the time until the deadline of the whole request, within which the
	// client may retry after a refusal.
	Objective   time.Duration `msgpack:"objective"`
	Deadline    time.Duration `msgpack:"deadline"`
	RetryWindow time.Duration `msgpack:"limit"`
	// AnswerWithin is the time until the instance that the request came to gives its final
	// answers, 0 if it isn't shutting down. Another instance can serve a request that takes
	// longer.
	AnswerWithin time.Duration `msgpack:"answerWithin,omitempty"`
	// AvoidEngines lists engines that refused or failed the request.
	AvoidEngines []string `msgpack:"avoid"`
	// RequiredEngine is the ID of the one engine that may serve the request, empty for
	// any.
	RequiredEngine string `msgpack:"only,omitempty"`
	// IsRebuilt requests that all results are computed anew, because an engine found
	// some of them missing.
	IsRebuilt bool `msgpack:"isRebuilt"`
	// Results holds the handles of results computed under an earlier coordinator, by
	// stage and piece; "" marks a missing one and releasedHandle one that was released.
	Results [][]string `msgpack:"made,omitempty"`
	// IsForced makes an instance prepare the request although, according to it, another
	// instance is the coordinator. The sender sets it after it could not reach a
	// coordinator or was redirected too often.
	IsForced bool `msgpack:"isForced,omitempty"`
	// OnTimeOnly makes the coordinator decline the request if it expects to miss the
	// objective, so that the sender can ask the coordinator of another cell.
	OnTimeOnly bool `msgpack:"onTimeOnly,omitempty"`
	// isLate is set if the request was admitted although it is expected to miss its
	// objective.
	isLate bool
}

// isNew reports whether no coordinator has begun to prepare the request.
func (t Task) isNew() bool { return len(t.Results) == 0 && t.Try <= 1 }

// WithElapsed returns the task after some time has passed.
func (t Task) WithElapsed(elapsed time.Duration) Task {
	t.Objective -= elapsed
	t.Deadline -= elapsed
	return t
}

// WithAnswerBy returns the task of an instance that gives its final answers at a time.
func (t Task) WithAnswerBy(at, now time.Time) Task {
	t.AnswerWithin = max(1, at.Sub(now))
	return t
}

// timeLeft returns the time within which the request must be prepared.
func (t Task) timeLeft() time.Duration {
	if t.AnswerWithin > 0 {
		return min(t.Deadline, t.AnswerWithin)
	}
	return t.Deadline
}

// isCutShort reports whether the request could take longer at another instance.
func (t Task) isCutShort() bool { return t.timeLeft() < t.Deadline }

// WithHandOver returns the task for the next coordinator after an instance handed it over
// with the results that exist so far. They are computed anew unless that instance did so.
func (t Task) WithHandOver(results [][]string) Task {
	t.Results = results
	t.IsRebuilt = t.IsRebuilt && len(results) == 0
	return t
}

// engineTime estimates the time from the end of the preparation to the first event.
func (t Task) engineTime() time.Duration {
	return engineOverhead + time.Duration(t.Prompt.InputTokens)*time.Millisecond/prefillTokensPerMs
}

func (t Task) class() batch.Class { return batch.Class{Rank: t.Rank, RouteRank: t.RouteRank} }

// RunStatus is the status of a run at an engine, as used to assess the engine.
type RunStatus int

// Statuses of a run.
const (
	// RunEnded: the run ended without a fault of the engine, or the reservation ended
	// before the request was run.
	RunEnded RunStatus = iota
	// RunRefused: the engine rejected the request, for example because it was full.
	RunRefused
	// RunFailed: the engine was unreachable or broke off the request.
	RunFailed
)

// Decision is the coordinator's decision about a request.
type Decision struct {
	RequestID string
	Pool      string
	// Rank is the rank of the class; 0 is served first.
	Rank int
	Try  int
	// OpenedAt is when the request arrived at the coordinator, Deadline when the time of
	// this try ends.
	OpenedAt time.Time
	Deadline time.Time
	// Server is the engine that was reserved; empty if the request was refused for
	// Reason.
	Server string
	Reason request.Reason
	// Waiting is the number of requests of an equal or better rank whose stage results
	// are not complete yet.
	Waiting int
}

// Placement is the result of a preparation: the reserved engine and the results to run
// with.
type Placement struct {
	Server     string `msgpack:"server"`
	Address    string `msgpack:"address"`
	DataCentre string `msgpack:"dataCentre"`
	// PrefixSource is the address of an engine from which the reserved one fetches the
	// cached beginning of the prompt, empty for none.
	PrefixSource string `msgpack:"source,omitempty"`
	// Inputs are the handles of the results that the engine fetches.
	Inputs []string `msgpack:"inputs"`
	// ExpectedFirstEvent is the estimated time to the first event.
	ExpectedFirstEvent time.Duration `msgpack:"expected,omitempty"`
	// TypicalFirstEvent is the time to the first event at an idle engine of usual speed.
	TypicalFirstEvent time.Duration `msgpack:"typical,omitempty"`
	// IsProbe is set if the request may be sent although its prompt is quarantined.
	IsProbe bool `msgpack:"isProbe,omitempty"`
	// WaitedMs is the time from the arrival of the task at the coordinator to the
	// reservation of the engine, in milliseconds.
	WaitedMs int64 `msgpack:"waitedMs"`
	// IsHandedOver means that the instance did not prepare the request, because it is not
	// the coordinator or hands over its requests. The request must be sent to the
	// coordinator, together with Results.
	IsHandedOver bool       `msgpack:"isMoved,omitempty"`
	Results      [][]string `msgpack:"made,omitempty"`
	// IsDeclined means that the coordinator did nothing for the request, because it
	// expected to miss the objective. It is set only for tasks with OnTimeOnly.
	IsDeclined bool `msgpack:"isDeclined,omitempty"`
}
