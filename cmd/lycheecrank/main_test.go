package main

import (
	"runtime/debug"
	"testing"

	"github.com/matryer/is"
)

// Guards against a collector that doesn't know the memory of the process: a
// coordinator on a machine with 144 MB was ended five times in a day.
func TestMemoryLimit(t *testing.T) {
	is := is.New(t)
	before := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(before)
	limitMemory(0)
	is.Equal(debug.SetMemoryLimit(-1), before)
	limitMemory(100 << 20)
	is.Equal(debug.SetMemoryLimit(-1), int64(55<<20))
}
