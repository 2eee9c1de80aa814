package batch

import (
	"math"
	"time"
)

// inflowTime is the time over which pieces that come in are averaged: longer than the
// gaps between requests, shorter than a burst.
const inflowTime = time.Second

// inflow is a smoothed rate of pieces. It is an immutable value.
type inflow struct {
	perSecond float64
	at        time.Time
}

// WithPieces returns the rate after some pieces came in.
func (f inflow) WithPieces(count int, now time.Time) inflow {
	return inflow{perSecond: f.rate(now) + float64(count)/inflowTime.Seconds(), at: now}
}

// rate returns the pieces a second.
func (f inflow) rate(now time.Time) float64 {
	return f.perSecond * math.Exp(-now.Sub(f.at).Seconds()/inflowTime.Seconds())
}
