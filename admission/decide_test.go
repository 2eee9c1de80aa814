package admission_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"lycheecrank.example/admission"
)

// load is a pattern of arrivals at one queue: requests per second and servers' speed in
// requests per second, in each second.
type load struct {
	name     string
	arrivals []int
	capacity []int
}

// play serves a load by latest start, late requests last, and returns how many requests
// were on time, late, refused and given up.
func play(l load, decide func(admission.Estimate, admission.Terms) (admission.Outcome, time.Duration)) (onTime, late, refused, lost int) {
	const tick, objective, deadline, service = 10 * time.Millisecond, 2 * time.Second, 6 * time.Second, 400 * time.Millisecond
	type queued struct{ arrived time.Duration }
	var first, behind []queued
	credit, due := 0.0, 0.0
	for now := time.Duration(0); now < time.Duration(len(l.arrivals))*time.Second; now += tick {
		second := int(now / time.Second)
		rate := float64(l.capacity[second])
		for due += float64(l.arrivals[second]) * tick.Seconds(); due >= 1; due-- {
			estimate := admission.Estimate{
				OnTime: service + time.Duration(float64(len(first))/rate*float64(time.Second)),
				Late:   service + time.Duration(float64(len(first)+len(behind))/rate*float64(time.Second)),
			}
			switch outcome, _ := decide(estimate, admission.Terms{Objective: objective, Deadline: deadline}); outcome {
			case admission.OnTime:
				first = append(first, queued{now})
			case admission.Late:
				behind = append(behind, queued{now})
			default:
				refused++
			}
		}
		for credit = min(credit+rate*tick.Seconds(), 1+rate*tick.Seconds()); credit >= 1 && len(first)+len(behind) > 0; credit-- {
			from := &first
			if len(first) == 0 {
				from = &behind
			}
			switch took := now - (*from)[0].arrived + service; {
			case took <= objective:
				onTime++
			case took <= deadline:
				late++
			default:
				lost++
			}
			*from = (*from)[1:]
		}
	}
	return onTime, late, refused, lost + len(first) + len(behind)
}

func seconds(count, value int) []int {
	values := make([]int, count)
	for i := range values {
		values[i] = value
	}
	return values
}

func join(parts ...[]int) []int {
	var all []int
	for _, p := range parts {
		all = append(all, p...)
	}
	return all
}

// Guards against a lasting overload in which each request is served a little too late,
// although most of them could have been on time.
func TestPatterns(t *testing.T) {
	acceptAll := func(admission.Estimate, admission.Terms) (admission.Outcome, time.Duration) {
		return admission.OnTime, 0
	}
	var b strings.Builder
	for _, l := range []load{
		{"calm", seconds(20, 80), seconds(20, 100)},
		{"burst of one class", join(seconds(5, 80), seconds(6, 220), seconds(9, 80)), seconds(20, 100)},
		{"half of the servers gone", seconds(20, 80), join(seconds(5, 100), seconds(8, 50), seconds(7, 100))},
		{"all clients back after an outage", join(seconds(5, 0), seconds(1, 500), seconds(14, 80)), seconds(20, 100)},
		{"slow servers", seconds(20, 80), join(seconds(5, 100), seconds(6, 30), seconds(9, 100))},
		{"repeats at once", join(seconds(5, 80), seconds(10, 130), seconds(5, 80)), seconds(20, 100)},
	} {
		onTime, late, refused, lost := play(l, acceptAll)
		fmt.Fprintf(&b, "%s\n  all accepted  on time %4d, late %4d, refused %4d, lost %4d\n", l.name, onTime, late, refused, lost)
		onTime, late, refused, lost = play(l, admission.Decide)
		fmt.Fprintf(&b, "  decided       on time %4d, late %4d, refused %4d, lost %4d\n", onTime, late, refused, lost)
	}
	goldie.New(t).Assert(t, "patterns", []byte(b.String()))
}

// Guards against a request that is refused although nothing delays it, and against one
// that another cell could serve on time.
func TestDecide(t *testing.T) {
	terms := admission.Terms{Objective: time.Second, Deadline: 4 * time.Second}
	elsewhere := terms
	elsewhere.OnTimeOnly = true
	names := map[admission.Outcome]string{admission.OnTime: "on time", admission.Late: "late", admission.Decline: "decline", admission.Refuse: "refuse"}
	var b strings.Builder
	for _, c := range []struct {
		name     string
		estimate admission.Estimate
		terms    admission.Terms
	}{
		{"nothing to prepare", admission.Estimate{Engine: 2 * time.Second}, terms},
		{"no wait", admission.Estimate{OnTime: 300 * time.Millisecond, Late: 300 * time.Millisecond, Engine: 200 * time.Millisecond}, terms},
		{"a queue that still fits", admission.Estimate{OnTime: 800 * time.Millisecond, Late: 3 * time.Second, Engine: 200 * time.Millisecond}, terms},
		{"a queue that is too long", admission.Estimate{OnTime: 900 * time.Millisecond, Late: 2 * time.Second, Engine: 200 * time.Millisecond}, terms},
		{"the same with other cells", admission.Estimate{OnTime: 900 * time.Millisecond, Late: 2 * time.Second, Engine: 200 * time.Millisecond}, elsewhere},
		{"late by more than the limit", admission.Estimate{OnTime: 900 * time.Millisecond, Late: 2900 * time.Millisecond, Engine: 200 * time.Millisecond}, terms},
		{"slow stages without a queue", admission.Estimate{OnTime: 3 * time.Second, Late: 3 * time.Second, Alone: 3 * time.Second}, terms},
		{"slow stages, long queue", admission.Estimate{OnTime: 5 * time.Second, Late: 5 * time.Second, Alone: 3 * time.Second}, admission.Terms{Objective: time.Second, Deadline: 9 * time.Second}},
		{"past the deadline", admission.Estimate{OnTime: 5 * time.Second, Late: 5 * time.Second}, admission.Terms{Objective: 4 * time.Second, Deadline: 4 * time.Second}},
	} {
		outcome, expected := admission.Decide(c.estimate, c.terms)
		fmt.Fprintf(&b, "%-30s %-8s %v\n", c.name, names[outcome], expected)
	}
	goldie.New(t).Assert(t, "decide", []byte(b.String()))
}
