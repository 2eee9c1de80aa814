//go:build review2

// Program rig2 plays the scripts of the second review: it starts the daemon as separate
// processes beside stand-ins for the platform, the workers and the clients.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

var (
	recordMu   sync.Mutex
	recordFile io.Writer = os.Stdout
	began                = time.Now()
)

// record writes a line to the record of the case.
func record(format string, arguments ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(recordFile, "%7.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, arguments...))
}

// fail ends a case that can't run.
func fail(format string, arguments ...any) {
	record("can't run: "+format, arguments...)
	os.Exit(2)
}

func getStatus(url string) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get(url)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		os.Exit(2)
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	recordFile = io.MultiWriter(out, os.Stdout)
	folder, err := os.MkdirTemp("", "review2")
	if err != nil {
		fail("%v", err)
	}
	isTroubled := os.Getenv("TROUBLE") != "0"
	cases := map[string]func(folder string, isTroubled bool) bool{"forged": playForged, "handles": playHandles, "heads": playHeads, "prompts": playPrompts, "anonymous": playAnonymous}
	play, ok := cases[os.Args[1]]
	if !ok {
		fail("unknown case %s", os.Args[1])
	}
	isBroken := play(folder, isTroubled)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(folder)
	} else {
		record("kept %s", folder)
	}
	if isBroken {
		record("result: the rule was broken")
		os.Exit(1)
	}
	record("result: the rule held")
}

// envInt returns a number from the environment, for trials with other figures.
func envInt(name string, usual int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return usual
}
