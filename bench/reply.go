package bench

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"lycheecrank.example/request"
	"lycheecrank.example/standin"
)

// Reply is what came back to a request.
type Reply struct {
	// Err tells that no answer came, or a stream without its whole end.
	Err error
	// Repeated tells that a stream sent a piece twice.
	Repeated  bool
	RequestID string
	Outcome   request.Outcome
	Reason    string
	Output    []byte
	// FirstPiece counts from the intended time; 0 unless the answer was streamed.
	FirstPiece time.Duration
	// Gaps are the times between the pieces of a stream.
	Gaps []time.Duration
	// Entry is the instance that was asked.
	Entry string
}

// Verdict is what a reply counts as. Every request has exactly one.
type Verdict string

// The verdicts.
const (
	// Whole: the answer to this request, in time.
	Whole Verdict = "whole"
	// Late: the answer to this request, after its deadline.
	Late Verdict = "late"
	// Refused: not run, with a reason.
	Refused Verdict = "refused"
	// Unknown: may have run.
	Unknown Verdict = "unknown"
	// Lost: no answer.
	Lost Verdict = "lost"
	// Doubled: the request ran twice, or a piece came twice.
	Doubled Verdict = "doubled"
	// Foreign: the answer to another request, or one that is not what its stages
	// make of the input.
	Foreign Verdict = "foreign"
)

// Verdicts returns all verdicts in a fixed order.
func Verdicts() []Verdict { return []Verdict{Whole, Late, Refused, Unknown, Lost, Doubled, Foreign} }

// Judge returns the verdict on a reply that came some time after the intended
// time of its request, and the reason of a refusal or doubt.
func Judge(a Arrival, r Reply, took time.Duration) (v Verdict, reason string) {
	switch {
	case r.Err != nil:
		return Lost, ""
	case r.RequestID != a.ID():
		return Foreign, ""
	case r.Outcome == request.NotRun:
		return Refused, r.Reason
	case r.Outcome != request.Ran:
		return Unknown, r.Reason
	case r.Repeated || a.Keyed && bytes.Equal(r.Output, filed(a, 2)):
		return Doubled, ""
	case !bytes.Equal(r.Output, Expected(a)):
		return Foreign, ""
	case took > a.Timeout:
		return Late, ""
	}
	return Whole, ""
}

// passages is the number of passages that the stage clients ask retrievers and
// rerankers for.
const passages = 4

// Expected returns the answer that belongs to a request, as the stand-ins make
// it from its input.
func Expected(a Arrival) []byte {
	if a.Operation != "" {
		return filed(a, 1)
	}
	output := []byte(a.Input)
	for _, k := range a.Stages {
		switch k {
		case request.Encode:
			output = standin.Encode(output)
		case request.Retrieve:
			output = standin.Retrieve(output, passages)
		case request.Rerank:
			output = standin.Rerank(output, passages)
		case request.Generate:
			output = []byte(strings.Join(standin.Summary(output, 0), ""))
		}
	}
	return output
}

// filed returns the answer of a plain service that has filed the subject of the
// request a number of times. Lookups find nothing, as nobody files a subject
// that is looked up.
func filed(a Arrival, times int) []byte {
	switch a.Operation {
	case "":
		return nil
	case "lookup":
		return fmt.Appendf(nil, `[{"subject":%q,"sums":null}]`, a.Input)
	}
	return fmt.Appendf(nil, `[{"subject":%q,"sums":{%q:%d}}]`, a.Input, a.Operation, times)
}
