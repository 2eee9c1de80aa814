package work

import "maps"

// Total is what a plain service has filed for a subject: the sum by operation.
// It is an immutable value.
type Total struct {
	Subject string           `json:"subject"`
	Sums    map[string]int64 `json:"sums"`
}

// WithFiled returns the total with a number added to the sum of an operation.
func (t Total) WithFiled(operation string, n int64) Total {
	sums := maps.Clone(t.Sums)
	if sums == nil {
		sums = map[string]int64{}
	}
	sums[operation] += n
	t.Sums = sums
	return t
}
