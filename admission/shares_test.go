package admission_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"lycheecrank.example/admission"
)

// Guards against one workspace whose flood takes what others can have on time, and against
// a share that is left unused.
func TestFlood(t *testing.T) {
	const tick, capacity, objective, service, length = 10 * time.Millisecond, 100.0, 2 * time.Second, 400 * time.Millisecond, 12 * time.Second
	type workspace struct {
		name    string
		perTick float64
	}
	var b strings.Builder
	for _, c := range []struct {
		name       string
		workspaces []workspace
	}{
		{"no shortage", []workspace{{"large", 0.7}, {"small", 0.1}}},
		{"flood of one workspace", []workspace{{"flood", 4}, {"small", 0.1}, {"medium", 0.3}}},
		{"two floods", []workspace{{"first", 3}, {"second", 1.5}, {"small", 0.1}}},
		{"all ask for too much", []workspace{{"a", 1}, {"b", 1}, {"c", 1}}},
	} {
		fmt.Fprintln(&b, c.name)
		for _, isFair := range []bool{false, true} {
			table := admission.NewTable()
			due, asked, onTime := map[string]float64{}, map[string]int{}, map[string]int{}
			first, behind, now := 0.0, 0.0, time.Unix(1000, 0)
			for at := time.Duration(0); at < length; at += tick {
				now = now.Add(tick)
				for _, w := range c.workspaces {
					for due[w.name] += w.perTick; due[w.name] >= 1; due[w.name]-- {
						wait := func(queued float64) time.Duration {
							return service + time.Duration(queued/capacity*float64(time.Second))
						}
						terms := admission.Terms{Objective: objective, Deadline: 6 * time.Second, ExceedsShare: isFair && table.Queries().ExceedsShare(w.name, now)}
						outcome, _ := admission.Decide(admission.Estimate{OnTime: wait(first), Late: wait(first + behind)}, terms)
						table.Commands().Record(w.name, outcome, now)
						asked[w.name]++
						switch outcome {
						case admission.OnTime:
							onTime[w.name]++
							first++
						case admission.Late:
							behind++
						case admission.Decline, admission.Refuse:
						}
					}
				}
				served := capacity * tick.Seconds()
				fromFirst := min(first, served)
				first, behind = first-fromFirst, max(0, behind-(served-fromFirst))
			}
			fmt.Fprintf(&b, "  fair %-5v", isFair)
			for _, w := range c.workspaces {
				fmt.Fprintf(&b, "  %s %d of %d on time", w.name, onTime[w.name], asked[w.name])
			}
			fmt.Fprintln(&b)
		}
	}
	goldie.New(t).Assert(t, "flood", []byte(b.String()))
}
