package drain

import "slices"

// Queries reads a table. Concurrent calls are safe.
type Queries struct{ table *Table }

// Count returns the number of unanswered attempts.
func (q Queries) Count() int {
	q.table.mu.Lock()
	defer q.table.mu.Unlock()
	return len(q.table.attempts)
}

// Counts returns the number of unanswered attempts by phase.
func (q Queries) Counts() map[Phase]int {
	counts := map[Phase]int{}
	for _, a := range q.Attempts() {
		counts[a.Phase]++
	}
	return counts
}

// Attempts returns the unanswered attempts, those that arrived first at the beginning.
func (q Queries) Attempts() []Attempt {
	q.table.mu.Lock()
	defer q.table.mu.Unlock()
	attempts := make([]Attempt, 0, len(q.table.attempts))
	for _, a := range q.table.attempts {
		attempts = append(attempts, a)
	}
	slices.SortFunc(attempts, func(a, b Attempt) int { return a.ArrivedAt.Compare(b.ArrivedAt) })
	return attempts
}
