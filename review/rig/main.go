//go:build review

// Program rig plays the cases of the review: it starts instances of the system as
// separate processes on loopback, plays their surroundings, and checks one rule.
//
// It exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case
// couldn't run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// caseLimit bounds a case, below the 120 seconds that a script may take.
const caseLimit = 115 * time.Second

// cases are the cases by name. Each returns the violations that it found.
var cases = map[string]func(ctx context.Context, s *site) ([]string, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(notRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseLimit)
	defer cancel()
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer r.close()
	s, err := newSite(r)
	if err != nil {
		r.write("the case could not run: %v", err)
		return notRun
	}
	defer s.close()
	violations, err := cases[name](ctx, s)
	if err != nil {
		r.write("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return notRun
	}
	for _, v := range violations {
		r.write("BROKEN %s", v)
	}
	fmt.Printf("%s: trouble %v, %s, %d violations\n", name, isTroubled(), r.summary(), len(violations))
	for _, v := range violations[:min(3, len(violations))] {
		fmt.Println(" ", v)
	}
	if len(violations) > 0 {
		return broken
	}
	return held
}

// isTroubled reports whether the case plays its disruption.
func isTroubled() bool { return os.Getenv("TROUBLE") != "0" }

// pause waits for a duration or for the end of the context.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
