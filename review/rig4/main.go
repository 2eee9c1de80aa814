//go:build review3

// Program rig4 runs the scripts of the cases 11 to 15: it starts processes of the system on
// loopback with stand-ins for the store, the workers and the clients, brings the disruption
// of a case about, and checks the rule from what clients and workers saw.
//
//	rig4 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
// TROUBLE=0 it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

var (
	recordMu sync.Mutex
	record   *os.File
	began    = time.Now()
	// folder holds the settings and the logs of the processes.
	folder string
	// hasTrouble is false for the run without the disruption.
	hasTrouble = os.Getenv("TROUBLE") != "0"
)

// note writes a line with the time since the start to the record.
func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	_, _ = fmt.Fprintf(record, "%7.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

// since returns the seconds from the start of the rig to a time.
func since(at time.Time) float64 { return at.Sub(began).Seconds() }

func cannotRun(format string, args ...any) {
	message := fmt.Sprintf(format, args...)
	if record != nil {
		note("can't run: %s", message)
	}
	fmt.Fprintln(os.Stderr, "rig4: can't run:", message)
	exit(2)
}

func exit(code int) {
	endProcesses()
	if folder != "" && os.Getenv("RIG_LOGS") == "" {
		_ = os.RemoveAll(folder)
	}
	os.Exit(code)
}

// waitUntil sleeps until some time after a start.
func waitUntil(start time.Time, offset time.Duration) { time.Sleep(time.Until(start.Add(offset))) }

func main() {
	cases := map[string]func() bool{
		"era-config": eraConfig, "crash-unseen": crashUnseen, "crash-bursts": crashBursts, "cold-plain": coldPlain, "handles": stageHandles, "slow-streams": slowStreams,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig4 CASE RECORD")
		os.Exit(2)
	}
	var err error
	if record, err = os.Create(os.Args[2]); err != nil {
		cannotRun("%v", err)
	}
	if folder, err = os.MkdirTemp("", "rig4-"); err != nil {
		cannotRun("%v", err)
	}
	if keep := os.Getenv("RIG_LOGS"); keep != "" {
		folder = keep
	}
	if _, err := os.Stat("target/lycheecrank"); err != nil {
		cannotRun("%v", err)
	}
	note("case %s, disruption %v", os.Args[1], hasTrouble)
	// A case takes less than 120 s.
	time.AfterFunc(115*time.Second, func() { cannotRun("the case took too long") })
	if cases[os.Args[1]]() {
		note("the rule was broken")
		fmt.Println("broken")
		exit(1)
	}
	note("the rule held")
	fmt.Println("held")
	exit(0)
}
