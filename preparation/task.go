// Package preparation gets requests ready to run on a model engine: it computes the
// results of their stages and reserves an engine. One instance at a time, the
// coordinator, does this for all requests, so that stage calls are batched well and
// engines are loaded evenly.
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
	// Try numbers the preparations of the request, so that a late notice about an
	// earlier one does not end a later one.
	Try    int           `msgpack:"try"`
	Pool   string        `msgpack:"pool"`
	Stages []Stage       `msgpack:"stages"`
	Key    string        `msgpack:"key"`
	Prompt engine.Prompt `msgpack:"prompt"`
	// Rank is the rank of the class; 0 is served first. RouteRank orders the requests
	// of a class.
	Rank      int `msgpack:"rank"`
	RouteRank int `msgpack:"routeRank"`
	// Objective and Deadline are the times remaining. RetryWindow is the time within
	// which the client may retry after a refusal; it is longer than Deadline if the
	// client waits less than that for a single answer.
	Objective   time.Duration `msgpack:"objective"`
	Deadline    time.Duration `msgpack:"deadline"`
	RetryWindow time.Duration `msgpack:"limit"`
	// AvoidEngines lists engines that refused or failed the request.
	AvoidEngines []string `msgpack:"avoid"`
	// RequiredEngine is the ID of the one engine that may serve the request, empty for
	// any.
	RequiredEngine string `msgpack:"only,omitempty"`
	// IsRebuilt requests that all results are computed anew, because an engine found
	// some of them missing.
	IsRebuilt bool `msgpack:"isRebuilt"`
	// Results holds the handles of results computed under an earlier coordinator, by
	// stage and piece; "" marks a missing one.
	Results [][]string `msgpack:"made,omitempty"`
	// IsForced makes an instance prepare the request even if it considers another
	// instance the coordinator, because that one is unreachable.
	IsForced bool `msgpack:"isForced,omitempty"`
}

func (t Task) class() batch.Class { return batch.Class{Rank: t.Rank, RouteRank: t.RouteRank} }

// RunStatus is the outcome of a run at an engine, as far as it concerns the engine.
type RunStatus int

// Statuses of a run.
const (
	// RunEnded: the run ended without a fault of the engine.
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
	// OpenedAt is when the request arrived at the coordinator, Deadline when its time
	// ends.
	OpenedAt time.Time
	Deadline time.Time
	// Server is the engine that was reserved; empty if the request was refused for
	// Reason.
	Server string
	Reason request.Reason
	// Waiting is the number of requests of an equal or better class that are still
	// waiting.
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
	// WaitedMs is the time that the preparation took.
	WaitedMs int64 `msgpack:"waitedMs"`
	// IsMoved means that the request was not prepared here and must be sent to the
	// coordinator, together with Results.
	IsMoved bool       `msgpack:"isMoved,omitempty"`
	Results [][]string `msgpack:"made,omitempty"`
}
