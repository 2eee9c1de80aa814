package precedence

import "time"

// Fault is what is wrong with records in the log.
type Fault string

// The faults.
const (
	// Changed: content does not match its hash, its signature or its neighbours.
	Changed Fault = "changed"
	// Missing: sequence numbers are absent and no gap record stands for them.
	Missing Fault = "missing"
	// Reordered: records or batches stand in another order than they were made.
	Reordered Fault = "reordered"
	// Forged: a batch is signed with a key that is not that of the incarnation.
	Forged Fault = "forged"
)

// Origin names a chain: an instance between a start and a stop.
type Origin struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
}

// Finding is one fault.
type Finding struct {
	Fault Fault `json:"fault"`
	Origin
	// First and Last are the sequence numbers concerned.
	First uint64 `json:"first"`
	Last  uint64 `json:"last"`
	// Batch is the index of the batch in the input, from 0; for missing records
	// that of the batch after them.
	Batch  int    `json:"batch"`
	Detail string `json:"detail"`
}

// GapReport tells of records that an instance lost and said so.
type GapReport struct {
	First uint64    `json:"first"`
	Last  uint64    `json:"last"`
	Count uint64    `json:"count"`
	From  time.Time `json:"from"`
	Until time.Time `json:"until"`
}

// ChainReport sums up one chain. Forged batches do not count.
type ChainReport struct {
	Origin
	First   uint64 `json:"first"`
	Last    uint64 `json:"last"`
	Records int    `json:"records"`
	Batches int    `json:"batches"`
	// Repeats is the number of batches that stand in the log again unchanged,
	// because the answer to their first append was lost.
	Repeats int         `json:"repeats"`
	Gaps    []GapReport `json:"gaps,omitempty"`
	// Key is the fingerprint of the chain's public key; KeyRegistered tells that
	// it comes from the registry, not from the chain's first batch.
	Key           string `json:"key"`
	KeyRegistered bool   `json:"keyRegistered"`
}

// Report is the result of Verify. Chains stand in the order of their first
// batch, findings by chain.
type Report struct {
	Chains   []ChainReport `json:"chains"`
	Findings []Finding     `json:"findings"`
}

// Intact reports whether nothing was found.
func (r Report) Intact() bool { return len(r.Findings) == 0 }

// findingsOf returns the findings of some chains.
func (r Report) findingsOf(origins map[Origin]bool) []Finding {
	var found []Finding
	for _, f := range r.Findings {
		if origins[f.Origin] {
			found = append(found, f)
		}
	}
	return found
}
