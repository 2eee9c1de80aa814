package quarantine

import "time"

// Status is a quarantine as shown to operators.
type Status struct {
	Parts []string `json:"parts"`
	// Level is 1 plus the number of probes that have crashed an engine since.
	Level int `json:"level"`
	// Since is the beginning of the quarantine.
	Since time.Time `json:"since"`
	// NextProbeMs is the time until a request is sent as a probe, in milliseconds.
	NextProbeMs int64         `json:"nextProbeMs"`
	Evidence    []StatusCrash `json:"evidence"`
}

// StatusCrash is a crash that counts against the parts.
type StatusCrash struct {
	BackendServer string    `json:"backendServer"`
	Request       string    `json:"request"`
	At            time.Time `json:"at"`
}

// Statuses returns the status of each quarantine, by key of its entry.
func (q Queries) Statuses(now time.Time) []Status {
	statuses := []Status{}
	for _, e := range q.Entries() {
		verdict, ok := q.Verdict(e.Parts, now)
		if !ok || !e.IsQuarantined() {
			continue
		}
		status := Status{
			Parts: e.Parts, Level: e.Level, Since: time.UnixMilli(e.SinceUnixMilli).UTC(), NextProbeMs: verdict.RetryAfter.Milliseconds(),
		}
		for _, c := range e.Evidence {
			status.Evidence = append(status.Evidence, StatusCrash{BackendServer: c.Server, Request: c.RequestID, At: c.at().UTC()})
		}
		statuses = append(statuses, status)
	}
	return statuses
}
