//go:build lockcheck

package lock

import (
	"bytes"
	"fmt"
	"runtime"
	"slices"
	"sync"
)

// held maps the ID of a goroutine to the mutexes that it holds.
var held sync.Map

func (r *Ranked) checkOrder() {
	for _, h := range heldBy(goroutineID()) {
		if h.rank >= r.rank {
			panic(fmt.Sprintf("lock: %s (rank %d) locked while holding %s (rank %d)", r.name, r.rank, h.name, h.rank))
		}
	}
}

func (r *Ranked) recordHeld() {
	id := goroutineID()
	held.Store(id, append(slices.Clone(heldBy(id)), r))
}

func (r *Ranked) recordReleased() {
	id := goroutineID()
	rest := slices.DeleteFunc(slices.Clone(heldBy(id)), func(h *Ranked) bool { return h == r })
	if len(rest) == 0 {
		held.Delete(id)
		return
	}
	held.Store(id, rest)
}

func heldBy(id string) []*Ranked {
	v, ok := held.Load(id)
	if !ok {
		return nil
	}
	return v.([]*Ranked)
}

// goroutineID parses the ID from the first line of the stack trace, "goroutine 17
// [running]:", because the runtime has no API for it.
func goroutineID() string {
	var buf [64]byte
	n := runtime.Stack(buf[:], false)
	fields := bytes.Fields(buf[:n])
	return string(fields[1])
}
