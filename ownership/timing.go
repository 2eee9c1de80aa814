package ownership

import "time"

// Timing holds the durations of the ownership protocol. Zero fields stand for the
// values of DefaultTiming.
type Timing struct {
	// Lease is how long the permission to dispatch to cold servers lasts, counted
	// from the start of the append of a renewal.
	Lease time.Duration
	// RenewalInterval is the time between two renewals.
	RenewalInterval time.Duration
	// OwnerTimeout is how long a candidate must have received no renewal of the owner
	// before it may take the term over.
	OwnerTimeout time.Duration
	// TakeoverWait is how long a new owner uses no cold servers, and warm ones at
	// half limits, if calls of former owners may still be running.
	TakeoverWait time.Duration
	// LogTimeout is the longest silence of the log that counts towards OwnerTimeout.
	// After a longer one, OwnerTimeout starts again, because the owner may have lost
	// the log as well.
	LogTimeout time.Duration
	// SubstituteDelay is how long an unreachable owner must have sent no renewal
	// before the next candidate, as its substitute, uses warm servers at half
	// limits.
	SubstituteDelay time.Duration
	// RankDelay is the additional delay of an acquisition per better candidate.
	RankDelay time.Duration
	// RetryDelay is the time from a failed renewal or release to the next attempt.
	RetryDelay time.Duration
	// AcquireRetryDelay is the time from an acquisition that was not read back to the
	// next attempt.
	AcquireRetryDelay time.Duration
	// ExpiredRenewalInterval replaces RenewalInterval after the lease has expired, for
	// an owner whose appends the log answers but which receives no records.
	ExpiredRenewalInterval time.Duration
	// AppendTimeout is the timeout of one append.
	AppendTimeout time.Duration
	// CheckInterval is the time between two checks of terms and candidates.
	CheckInterval time.Duration
}

// DefaultTiming returns the durations for production.
//
// Two clocks that are each wrong by up to 5% in opposite directions differ by
// 10.53%. OwnerTimeout must exceed 10 s x 1.1053 = 11.053 s, so that the old lease
// has ended, and OwnerTimeout + TakeoverWait must exceed (10 s + 6 s) x 1.1053 =
// 17.685 s, so that the old owner's calls have passed their deadlines of at most
// 6 s. SubstituteDelay is short because the pools of a killed owner are not served
// until it has passed. A live owner that can't be reached may go on dispatching at
// the same time; warm servers tolerate that. LogTimeout covers two failed reads of
// the log. ExpiredRenewalInterval exceeds OwnerTimeout plus the longest rank delay,
// so that others can take over.
func DefaultTiming() Timing {
	return Timing{
		Lease:                  10 * time.Second,
		RenewalInterval:        4 * time.Second,
		OwnerTimeout:           11100 * time.Millisecond,
		TakeoverWait:           6600 * time.Millisecond,
		LogTimeout:             4 * time.Second,
		SubstituteDelay:        2 * time.Second,
		RankDelay:              400 * time.Millisecond,
		RetryDelay:             time.Second,
		AcquireRetryDelay:      3 * time.Second,
		ExpiredRenewalInterval: 20 * time.Second,
		AppendTimeout:          2 * time.Second,
		CheckInterval:          250 * time.Millisecond,
	}
}

// maxDelayedRank bounds the rank delay of an acquisition. Better candidates may
// be dead without this being detected yet, and the pool must not stay without an
// owner.
const maxDelayedRank = 3

func (t Timing) withDefaults() Timing {
	d := DefaultTiming()
	for _, f := range []struct{ value, fallback *time.Duration }{
		{&t.Lease, &d.Lease},
		{&t.RenewalInterval, &d.RenewalInterval},
		{&t.OwnerTimeout, &d.OwnerTimeout},
		{&t.TakeoverWait, &d.TakeoverWait},
		{&t.LogTimeout, &d.LogTimeout},
		{&t.SubstituteDelay, &d.SubstituteDelay},
		{&t.RankDelay, &d.RankDelay},
		{&t.RetryDelay, &d.RetryDelay},
		{&t.AcquireRetryDelay, &d.AcquireRetryDelay},
		{&t.ExpiredRenewalInterval, &d.ExpiredRenewalInterval},
		{&t.AppendTimeout, &d.AppendTimeout},
		{&t.CheckInterval, &d.CheckInterval},
	} {
		if *f.value == 0 {
			*f.value = *f.fallback
		}
	}
	return t
}
