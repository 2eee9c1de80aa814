package ownership

import "time"

// Timing holds the durations of the protocol. Zero fields stand for the values
// of DefaultTiming.
type Timing struct {
	// Lease is how long the right to dispatch to cold servers lasts from before
	// the append of a renewal.
	Lease time.Duration
	// Renewal is the time between two renewals.
	Renewal time.Duration
	// Silence is how long another instance must have seen no renewal before it
	// takes a term over.
	Silence time.Duration
	// Wait is how long a new owner, after a takeover without a settled release,
	// gives cold servers nothing and warm ones half.
	Wait time.Duration
	// ContactGap is how long the log may give no answer before this instance no
	// longer counts the silence of an owner: both may have lost the log.
	ContactGap time.Duration
	// StandIn is how long an unreachable owner must have shown no renewal before
	// the next candidate serves warm servers at half limits.
	StandIn time.Duration
	// RankDelay is how much later each next candidate attempts a take.
	RankDelay time.Duration
	// Retry is the time from a failed renewal to the next one.
	Retry time.Duration
	// TakeRetry is the time from a take that was not read back to the next one.
	TakeRetry time.Duration
	// LapsedRenewal is the time between renewals of an owner whose appends are
	// answered but whose tail shows nothing, after its lease has ended.
	LapsedRenewal time.Duration
	// AppendLimit bounds one append.
	AppendLimit time.Duration
	// Check is the time between two looks at terms and candidates.
	Check time.Duration
}

// DefaultTiming returns the durations in use.
//
// Two clocks that are each wrong by up to 5% in opposite directions differ by
// 10.53%. Silence must exceed 10 s x 1.1053 = 11.053 s, so that the old lease has
// ended, and Silence + Wait must exceed (10 s + 6 s) x 1.1053 = 17.685 s, so that
// the old owner's calls have passed their deadlines of at most 6 s. StandIn is
// short, since a killed owner leaves its pools without service until then; an
// owner that lives and can't be reached may go on meanwhile, which warm servers
// bear. ContactGap is two reads of the log that fail. LapsedRenewal is longer
// than Silence with every delay of rank, so that others can take over.
func DefaultTiming() Timing {
	return Timing{
		Lease:         10 * time.Second,
		Renewal:       4 * time.Second,
		Silence:       11100 * time.Millisecond,
		Wait:          6600 * time.Millisecond,
		ContactGap:    4 * time.Second,
		StandIn:       2 * time.Second,
		RankDelay:     400 * time.Millisecond,
		Retry:         time.Second,
		TakeRetry:     3 * time.Second,
		LapsedRenewal: 20 * time.Second,
		AppendLimit:   2 * time.Second,
		Check:         250 * time.Millisecond,
	}
}

// maxRank bounds the delay of a take by rank. Better candidates may be dead
// without anybody knowing yet, and the pool must not stay without an owner.
const maxRank = 3

func (t Timing) withDefaults() Timing {
	d := DefaultTiming()
	for _, f := range []struct{ value, fallback *time.Duration }{
		{&t.Lease, &d.Lease},
		{&t.Renewal, &d.Renewal},
		{&t.Silence, &d.Silence},
		{&t.Wait, &d.Wait},
		{&t.ContactGap, &d.ContactGap},
		{&t.StandIn, &d.StandIn},
		{&t.RankDelay, &d.RankDelay},
		{&t.Retry, &d.Retry},
		{&t.TakeRetry, &d.TakeRetry},
		{&t.LapsedRenewal, &d.LapsedRenewal},
		{&t.AppendLimit, &d.AppendLimit},
		{&t.Check, &d.Check},
	} {
		if *f.value == 0 {
			*f.value = *f.fallback
		}
	}
	return t
}
