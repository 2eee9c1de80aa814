package intake

import (
	"cmp"
	"slices"
	"time"
)

const (
	// sampleTime is the least time over which the progress of a request is measured. A
	// retransmission on a sound connection takes less.
	sampleTime = 400 * time.Millisecond
	// minProgress is the rate in bytes per second from which on a request makes progress.
	// At half of it, the largest body could not arrive within the usual deadline of 30 s.
	minProgress = 64 << 10
)

// Holder is a request as the choice of victims sees it. It is an immutable value.
type Holder struct {
	Phase Phase
	// Held is its memory in bytes.
	Held int64
	// IsSlow is true if less than minProgress went through its connection over the last
	// sample, and for an answer, if a write waits for the client. A stream whose client
	// reads it is never slow, however rare its events are.
	IsSlow bool
	// Rate is the number of bytes per second over the last sample.
	Rate float64
	// IsWaiting is true if it waits for memory, so that its client can't make progress.
	IsWaiting bool
}

// canBeShed reports whether a request makes no progress because of its client.
func (h Holder) canBeShed(includeSmall bool) bool {
	isSheddable := h.Phase == Receiving || h.Phase == Sending
	return isSheddable && h.Held > 0 && h.IsSlow && !h.IsWaiting && (includeSmall || h.Held > smallBytes)
}

// Victims returns the indices of the requests that are shed to release need bytes: those
// that hold the most first, and of these the ones that have made the least progress. Small
// requests are included only if the others don't suffice and small ones are waiting.
func Victims(holders []Holder, need int64, areSmallWaiting bool) []int {
	var order []int
	for n, h := range holders {
		if h.canBeShed(areSmallWaiting) {
			order = append(order, n)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(holders[b].Held, holders[a].Held), cmp.Compare(holders[a].Rate, holders[b].Rate))
	})
	for n, index := range order {
		if need <= 0 {
			return order[:n]
		}
		need -= holders[index].Held
	}
	return order
}

// AreDeadlocked reports whether all large requests wait for memory that only they hold, so
// that none of them can go on.
func AreDeadlocked(holders []Holder) bool {
	isAnyWaiting := false
	for _, h := range holders {
		if h.Held <= smallBytes {
			continue
		}
		if !h.IsWaiting {
			return false
		}
		isAnyWaiting = true
	}
	return isAnyWaiting
}
