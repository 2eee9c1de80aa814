package request_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"lycheecrank.example/request"
)

// Guards against an unintended change to the rules of a reason: whether a step
// or a request may be retried, whether another data centre is tried, and whether
// the outcome is always NotRun or depends on whether a byte was sent.
func TestReasons(t *testing.T) {
	var out strings.Builder
	fmt.Fprintf(&out, "%-22s %-11s %-14s %-18s %-12s %s\n", "reason", "retry step", "retry request", "avoid data centre", "not sent", "sent")
	for _, r := range append(request.Reasons(), "unknownToThisVersion") {
		sent := request.Refuse(r, "").WithSent(true).Outcome().String()
		if !r.ArisesAfterSend() {
			sent = "impossible"
		}
		fmt.Fprintf(&out, "%-22s %-11t %-14t %-18t %-12s %s\n", r, r.AllowsStepRetry(), r.AllowsRequestRetry(), r.AvoidsDataCentre(), request.Refuse(r, "").Outcome(), sent)
	}
	goldie.New(t, goldie.WithFixtureDir("testdata"), goldie.WithNameSuffix(".golden")).Assert(t, "reasons", []byte(out.String()))
}

// Guards against a failure whose Sent flag is cleared, and an error of unknown
// kind that is reported as not run.
func TestSentIsNeverCleared(t *testing.T) {
	f := request.Refuse(request.ReasonNoServer, "none").WithSent(true).WithSent(false)
	if f.Outcome() != request.MayHaveRun {
		t.Error("WithSent(false) cleared Sent")
	}
	if request.AsFailure(errors.New("unknown")).Outcome() != request.MayHaveRun {
		t.Error("an error of unknown kind is reported as not run")
	}
	if !errors.Is(fmt.Errorf("wrapped: %w", f), request.ReasonNoServer) || !request.AsFailure(fmt.Errorf("wrapped: %w", f)).Sent {
		t.Error("AsFailure or errors.Is does not unwrap the failure")
	}
}

// Guards against a retry that modifies the step of an earlier attempt, which may
// still be in progress.
func TestRetryDoesNotModifyEarlierStep(t *testing.T) {
	first := request.Step{Attempt: 1, AvoidServers: make([]string, 0, 4)}
	a := first.WithRetry(request.Failure{Reason: request.ReasonServerFailed, Server: "a"})
	b := first.WithRetry(request.Failure{Reason: request.ReasonServerFailed, Server: "b"})
	if len(first.AvoidServers) != 0 || a.AvoidServers[0] != "a" || b.AvoidServers[0] != "b" || a.Attempt != 2 {
		t.Errorf("%v, %v, %v", first.AvoidServers, a.AvoidServers, b.AvoidServers)
	}
}
