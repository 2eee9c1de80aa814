package entry

import (
	"io"
	"log"
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot reads CLOCK_BOOTTIME, which advances while the machine is suspended, unlike
// the monotonic clock of the Go runtime. It returns 0 if the clock can't be read.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// discardLog discards the lines that net/http logs about broken connections. The log
// line of each attempt covers them.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }
