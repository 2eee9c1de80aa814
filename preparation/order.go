// Package preparation brings requests to the point at which a model engine can
// run them: it has the results of their stages made and chooses the engine. One
// instance does this for all at a time, so that calls of stages are full and
// engines are used evenly.
package preparation

import (
	"time"

	"lycheecrank.example/batch"
	"lycheecrank.example/engine"
	"lycheecrank.example/request"
)

// Stage is a stage of an order.
type Stage struct {
	Pool string `msgpack:"pool"`
	// After lists the numbers of the stages whose results it needs.
	After []int `msgpack:"after"`
	// Bytes is the approximate size of one result.
	Bytes int64 `msgpack:"bytes"`
	// Pieces is the number of pieces; 0 leaves the stage out.
	Pieces int `msgpack:"pieces"`
}

// Order asks for the preparation of a request.
type Order struct {
	Request string `msgpack:"request"`
	// Try numbers the preparations of the request, so that a late word on an earlier
	// one does not end a later one.
	Try    int           `msgpack:"try"`
	Pool   string        `msgpack:"pool"`
	Stages []Stage       `msgpack:"stages"`
	Key    string        `msgpack:"key"`
	Prompt engine.Prompt `msgpack:"prompt"`
	// Rank is the class; 0 is served first. RouteRank orders the requests of a class.
	Rank      int `msgpack:"rank"`
	RouteRank int `msgpack:"routeRank"`
	// Objective and Deadline are the times that are left. Limit is the time in which
	// the client may come back after a refusal; it is longer than Deadline if the
	// client waits less for one answer.
	Objective time.Duration `msgpack:"objective"`
	Deadline  time.Duration `msgpack:"deadline"`
	Limit     time.Duration `msgpack:"limit"`
	// Avoid lists engines that refused or failed the request.
	Avoid []string `msgpack:"avoid"`
	// Only is the one engine that may get the request, empty for any.
	Only string `msgpack:"only,omitempty"`
	// IsRebuilt asks to make all results again, since an engine found some gone.
	IsRebuilt bool `msgpack:"isRebuilt"`
	// Made holds the results that an earlier coordinator had made, by stage and
	// piece; "" is not made.
	Made [][]string `msgpack:"made,omitempty"`
	// IsForced asks an instance to prepare the request though it takes another one
	// for the coordinator, since that one can't be reached.
	IsForced bool `msgpack:"isForced,omitempty"`
}

func (o Order) class() batch.Class { return batch.Class{Rank: o.Rank, RouteRank: o.RouteRank} }

// Ending is how a request ended at its engine.
type Ending int

// The endings.
const (
	// RunEnded says nothing against the engine.
	RunEnded Ending = iota
	// RunRefused: the engine did not take the request, such as a full one.
	RunRefused
	// RunFailed: the engine was not reached, or broke the request off.
	RunFailed
)

// Decision is what the coordinator decided about a request.
type Decision struct {
	Request string
	Pool    string
	// Rank is the class; 0 is served first.
	Rank int
	Try  int
	// OpenedAt is when the order arrived, Deadline the end of its time.
	OpenedAt time.Time
	Deadline time.Time
	// Server is where the request goes; empty if it was refused for Reason.
	Server string
	Reason request.Reason
	// Waiting is the number of requests of an equal or better class that go on
	// waiting.
	Waiting int
}

// Placement is a prepared request: where it runs and with which results.
type Placement struct {
	Server     string `msgpack:"server"`
	Address    string `msgpack:"address"`
	DataCentre string `msgpack:"dataCentre"`
	// Source is the address of an engine from which the chosen one fetches the
	// beginning of the prompt, empty for none.
	Source string `msgpack:"source,omitempty"`
	// Inputs are the handles of the results that the engine fetches.
	Inputs []string `msgpack:"inputs"`
	// Expected is the likely time to the first event.
	Expected time.Duration `msgpack:"expected,omitempty"`
	// WaitedMs is the time that the preparation took.
	WaitedMs int64 `msgpack:"waitedMs"`
	// IsMoved tells that the request was not prepared here and has to be given to
	// the coordinator, with the results that were made.
	IsMoved bool       `msgpack:"isMoved,omitempty"`
	Made    [][]string `msgpack:"made,omitempty"`
}
