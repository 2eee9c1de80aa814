package entry

import (
	"io"
	"log"
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot reads the clock that goes on while the machine is suspended. The
// clock of the runtime stands still meanwhile.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// discardLog drops the library's own lines on broken connections, which the
// report of each attempt covers.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }
