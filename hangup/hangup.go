// Package hangup receives SIGHUP from the initialization of the process on. SIGHUP ends a
// process that doesn't receive it, and the platform may send it directly after the start,
// while the other packages are initialized and the settings are read.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// signals is initialized before the packages that import this one. It holds one signal, as
// settings that are read after several signals are the newest.
var signals = notify()

func notify() chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// Signals returns the channel that receives SIGHUP.
func Signals() <-chan os.Signal { return signals }

// Reset makes SIGHUP end the process, unless it was ignored at the start of the process.
func Reset() { signal.Reset(syscall.SIGHUP) }
