// Package quarantine finds the parts of prompts that crash engines and keeps requests
// with them away from engines.
//
// An engine that crashes takes all of its requests with it, so a crash alone doesn't
// show its cause. Only requests whose answers had just begun are suspects, and of the
// parts of their prompts the one that has gone without a success for longest, or several
// if no request with any of them has succeeded. Parts that are suspects of several
// crashes, at different engines, are quarantined: requests with all of them are refused.
// From time to time one of these is sent as a probe. A success of a part shows that it
// isn't the cause; when none is left, the quarantine ends.
//
// All instances keep the crashes and the quarantine entries, and pass them on to each
// other. Coordinators decide (see package membership), because they learn of all
// successes in their cell.
package quarantine

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"lycheecrank.example/request"
)

const (
	// minCrashes is the number of crashes after which parts are quarantined. An engine
	// that crashes for another reason has a request with the same unproven part much less
	// often than three times in a row.
	minCrashes = 3
	// minRequests is the number of different requests among these crashes.
	minRequests = 2
	// crashSpacing is the time between two crashes below which they count as one, unless
	// their part is singled out (see independent): engines that fail together, with their
	// rack or data centre, have one cause.
	crashSpacing = 200 * time.Millisecond
	// crashRetention is how long a crash is remembered.
	crashRetention = time.Minute
	// firstProbeAfter is the time after which a request with quarantined parts may be
	// sent as a probe. It doubles with each probe that crashes its engine, up to
	// maxProbeInterval.
	firstProbeAfter  = 15 * time.Second
	maxProbeInterval = time.Hour
	// probeTimeout is the time after which a probe without a result doesn't keep another
	// one back any more.
	probeTimeout = 10 * time.Second
	// entryRetention is how long an entry is remembered after its last change.
	entryRetention = 24 * time.Hour
	// maxCrashes and maxEntries bound the memory.
	maxCrashes = 128
	maxEntries = 128
)

// Crash is the end of an engine while the answer to a request had just begun there.
type Crash struct {
	// Server identifies the process of the engine: its ID and start time.
	Server     string `msgpack:"server"`
	DataCentre string `msgpack:"dataCentre"`
	RequestID  string `msgpack:"request"`
	// Parts are the IDs of the parts of the prompt that other requests may share.
	Parts []string `msgpack:"parts"`
	// AtUnixMilli is when the answer broke off, in Unix milliseconds of the instance that
	// observed it.
	AtUnixMilli int64 `msgpack:"at"`
}

func (c Crash) at() time.Time { return time.UnixMilli(c.AtUnixMilli) }

// Entry is what is known about parts that are or were quarantined together. It is an
// immutable value.
type Entry struct {
	// Parts are the IDs of the parts, sorted. They are the key of the entry.
	Parts []string `msgpack:"parts"`
	// Generation counts the ends of the quarantine. Of two versions of an entry, the one
	// with the higher generation is newer.
	Generation uint64 `msgpack:"generation"`
	// Level is 0 if the parts aren't quarantined, otherwise 1 plus the number of probes
	// that have crashed their engines.
	Level int `msgpack:"level"`
	// SinceUnixMilli is the beginning of the quarantine, UpdatedUnixMilli the last change
	// of the entry, both in Unix milliseconds.
	SinceUnixMilli   int64 `msgpack:"since"`
	UpdatedUnixMilli int64 `msgpack:"updated"`
	// Evidence holds the crashes that led to the quarantine.
	Evidence []Crash `msgpack:"evidence,omitempty"`
	// Succeeded are the parts whose success has ended the quarantine.
	Succeeded []string `msgpack:"succeeded,omitempty"`
}

// Key identifies the entry by its parts.
func (e Entry) Key() string { return strings.Join(e.Parts, ",") }

// matches reports whether a request with the given parts has all parts of the entry.
func (e Entry) matches(parts []string) bool {
	return !slices.ContainsFunc(e.Parts, func(part string) bool { return !slices.Contains(parts, part) })
}

// IsQuarantined reports whether requests with all parts of the entry are refused.
func (e Entry) IsQuarantined() bool { return e.Level > 0 }

// WithQuarantine returns the entry at the beginning of a quarantine.
func (e Entry) WithQuarantine(evidence []Crash, now time.Time) Entry {
	e.Level, e.Evidence = 1, slices.Clone(evidence)
	e.SinceUnixMilli, e.UpdatedUnixMilli = now.UnixMilli(), now.UnixMilli()
	return e
}

// WithFailedProbe returns the entry after a probe has crashed its engine.
func (e Entry) WithFailedProbe(now time.Time) Entry {
	e.Level++
	e.UpdatedUnixMilli = now.UnixMilli()
	return e
}

// WithEnd returns the entry after the end of the quarantine by the success of parts.
func (e Entry) WithEnd(succeeded []string, now time.Time) Entry {
	return Entry{Parts: e.Parts, Generation: e.Generation + 1, UpdatedUnixMilli: now.UnixMilli(), Succeeded: succeeded}
}

// withoutSuccesses returns the entry that remains after the success of parts, or false if
// none remains.
func (e Entry) withoutSuccesses(succeeded []string, now time.Time) (Entry, bool) {
	e.Parts = slices.DeleteFunc(slices.Clone(e.Parts), func(part string) bool { return slices.Contains(succeeded, part) })
	e.UpdatedUnixMilli = now.UnixMilli()
	return e, len(e.Parts) > 0
}

// isNewer reports whether the entry replaces another version of it. The order is total
// but for evidence, so that all instances end with the same version.
func (e Entry) isNewer(other Entry) bool {
	if e.Generation != other.Generation {
		return e.Generation > other.Generation
	}
	return e.Level > other.Level
}

func (e Entry) isExpired(now time.Time) bool {
	return now.Sub(time.UnixMilli(e.UpdatedUnixMilli)) > entryRetention
}

// probeInterval returns the time between two probes.
func (e Entry) probeInterval() time.Duration {
	return min(maxProbeInterval, firstProbeAfter<<min(max(0, e.Level-1), 16))
}

// Update is what instances tell each other and keep in the store.
type Update struct {
	Crashes []Crash `msgpack:"crashes,omitempty"`
	Entries []Entry `msgpack:"entries,omitempty"`
}

// IsEmpty reports whether there is nothing to tell.
func (u Update) IsEmpty() bool { return len(u.Crashes) == 0 && len(u.Entries) == 0 }

// Verdict is the reason for which a request is refused.
type Verdict struct {
	Entry
	// IsProbeDue is set if a coordinator may admit the request as a probe.
	IsProbeDue bool
	// RetryAfter is the time until the next probe.
	RetryAfter time.Duration
}

// Failure returns the refusal of a request that hasn't run.
func (v Verdict) Failure() request.Failure {
	detail := fmt.Sprintf("engines crash when they answer prompts with %s: %d crashes before the quarantine, which began at %s",
		v.Key(), len(v.Evidence), time.UnixMilli(v.SinceUnixMilli).UTC().Format(time.RFC3339))
	return request.Refuse(request.ReasonPromptQuarantined, detail).WithRetryAfter(max(minRetryAfter, v.RetryAfter))
}

// minRetryAfter is the shortest delay before a client retries a refused request.
const minRetryAfter = time.Second
