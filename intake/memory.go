package intake

import (
	"math"
	"runtime/debug"

	"golang.org/x/sys/unix"
)

// ProcessMemory returns the memory of the process in bytes: the configured amount if it is
// not 0, otherwise the limit in GOMEMLIMIT, otherwise the memory of the machine.
func ProcessMemory(configured int64) int64 {
	if configured > 0 {
		return configured
	}
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return limit
	}
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) == nil {
		return int64(uint64(info.Totalram) * uint64(info.Unit))
	}
	return fallbackMemory
}

// fallbackMemory is assumed if the memory of the machine can't be read.
const fallbackMemory = 512 << 20

// Descriptors returns how many file descriptors the process may open.
func Descriptors() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return fallbackDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}

const (
	fallbackDescriptors = 1024
	// maxDescriptors keeps an unlimited number within the range of int.
	maxDescriptors = 1 << 20
)
