package precedence

import "time"

// Fault is the kind of a fault in the records of a log.
type Fault string

// The kinds of faults.
const (
	// FaultChanged: the content of a record or batch doesn't match its hash, its
	// signature or the adjacent records.
	FaultChanged Fault = "changed"
	// FaultMissing: sequence numbers are missing and no gap record covers them.
	FaultMissing Fault = "missing"
	// FaultReordered: records or batches are not in the order of their sequence
	// numbers.
	FaultReordered Fault = "reordered"
	// FaultForged: a batch is signed with a key other than that of its chain.
	FaultForged Fault = "forged"
)

// Origin identifies a chain: one incarnation of an instance, from its start to its stop.
type Origin struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
}

// Finding is a fault with its position in the records.
type Finding struct {
	Fault Fault `json:"fault"`
	Origin
	// FirstSequence and LastSequence delimit the affected sequence numbers.
	FirstSequence uint64 `json:"first"`
	LastSequence  uint64 `json:"last"`
	// BatchIndex is the index of the batch in the input, from 0. For missing records
	// it is the index of the batch that should contain them or, if there is none, of the
	// batch after them.
	BatchIndex int    `json:"batch"`
	Detail     string `json:"detail"`
}

// GapReport describes records that an instance lost and covered by a gap record.
// FirstLostAt and LastLostAt are the times of the first and the last of them.
type GapReport struct {
	FirstSequence uint64    `json:"first"`
	LastSequence  uint64    `json:"last"`
	Count         uint64    `json:"count"`
	FirstLostAt   time.Time `json:"from"`
	LastLostAt    time.Time `json:"until"`
}

// ChainReport summarizes one chain, without forged batches.
type ChainReport struct {
	Origin
	FirstSequence uint64 `json:"first"`
	LastSequence  uint64 `json:"last"`
	Records       int    `json:"records"`
	Batches       int    `json:"batches"`
	// Repeats is the number of unchanged repeats of batches. They occur if an append
	// succeeded but its reply was lost.
	Repeats int         `json:"repeats"`
	Gaps    []GapReport `json:"gaps,omitempty"`
	// KeyFingerprint identifies the chain's public key. KeyRegistered reports whether
	// the key comes from Verifier.Keys rather than from the chain's first batch.
	KeyFingerprint string `json:"key"`
	KeyRegistered  bool   `json:"keyRegistered"`
}

// Report is the result of Verify. Chains are in the order of their first batch in the
// log, and findings are grouped by chain in the same order.
type Report struct {
	Chains   []ChainReport `json:"chains"`
	Findings []Finding     `json:"findings"`
}

// Intact reports whether there are no findings.
func (r Report) Intact() bool { return len(r.Findings) == 0 }

// findingsOf returns the findings of the given chains.
func (r Report) findingsOf(origins map[Origin]bool) []Finding {
	var found []Finding
	for _, f := range r.Findings {
		if origins[f.Origin] {
			found = append(found, f)
		}
	}
	return found
}
