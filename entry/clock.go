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

// instant returns a time as nanoseconds since the start of this instance by the monotonic
// clock, at least 1. Steps of the wall clock neither extend nor shorten the time between
// two instants.
func (i *Instance) instant(at time.Time) int64 { return max(1, int64(at.Sub(i.startedAt))) }

// discardLog discards the lines that net/http logs about broken connections. The log
// line of each attempt covers them.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }
