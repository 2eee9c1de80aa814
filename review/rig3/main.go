//go:build review2

// Program rig3 plays the script review/8 and one that was left out: it starts the system's entry
// processes with stand-ins for the store, the workers and the clients on loopback
// addresses, plays one case and checks its rule. It exits with 1 if the rule was broken, 0
// if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"time"
)

// The exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// maxCaseTime bounds a case; the limit of the review is 120 s.
const maxCaseTime = 116 * time.Second

// cases holds the cases by name. A case returns the violations that it has seen.
var cases = map[string]func(*site, bool) ([]string, error){
	"leaving":    leavingCase,
	"evacuation": evacuationCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD; run in the repository, with TROUBLE=0 for no disruption")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play plays a case and returns the exit status.
func play(name, recordFile string, hasTrouble bool) int {
	r, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer r.close()
	s, err := newSite(r)
	if err != nil {
		r.write("the case couldn't run: %v", err)
		return failed
	}
	defer s.close()
	limit := time.AfterFunc(maxCaseTime, func() {
		r.write("the case took too long")
		s.killInstances()
		r.close()
		os.Exit(failed)
	})
	defer limit.Stop()
	r.write("case %s, disruption %v", name, hasTrouble)
	violations, err := cases[name](s, hasTrouble)
	if err != nil {
		r.write("the case couldn't run: %v", err)
		return failed
	}
	for _, v := range violations {
		r.write("BROKEN: %s", v)
	}
	r.write("violations: %d", len(violations))
	if len(violations) > 0 {
		return broken
	}
	return held
}
