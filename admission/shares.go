package admission

import (
	"time"

	"lycheecrank.example/lock"
)

// Table counts the requests of each workspace at one coordinator, for a fair division of
// what can be on time in a shortage. It answers the flood of one workspace: without it, the
// workspace that sends most gets most.
type Table struct {
	mu *lock.Ranked
	// current holds the counts since startedAt, previous those of the period before.
	current   map[string]counts
	previous  map[string]counts
	startedAt time.Time
}

// counts are the requests of a workspace in a period, and those of them that were admitted
// as on time.
type counts struct {
	asked  int
	onTime int
}

// countPeriod is the length of a period. Two periods are long enough for the requests of
// small workspaces to count, and shorter than an overload that callers notice.
const countPeriod = 500 * time.Millisecond

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{mu: lock.New(lock.RankAdmission, "admission"), current: map[string]counts{}}
}

// Commands returns the methods that change the table.
func (t *Table) Commands() Commands { return Commands{t} }

// Queries returns the methods that read the table.
func (t *Table) Queries() Queries { return Queries{t} }

// Commands changes a table. Concurrent calls are safe.
type Commands struct{ table *Table }

// Queries reads a table. Concurrent calls are safe.
type Queries struct{ table *Table }

// Record counts a request of a workspace by its outcome.
func (c Commands) Record(workspace string, outcome Outcome, now time.Time) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	switch age := now.Sub(t.startedAt); {
	case age >= 2*countPeriod:
		t.previous, t.current, t.startedAt = nil, map[string]counts{}, now
	case age >= countPeriod:
		t.previous, t.current, t.startedAt = t.current, map[string]counts{}, now
	}
	n := t.current[workspace]
	n.asked++
	if outcome == OnTime {
		n.onTime++
	}
	t.current[workspace] = n
}

// ExceedsShare reports whether a workspace has had more requests admitted as on time lately
// than its fair share, while requests of others weren't.
func (q Queries) ExceedsShare(workspace string, now time.Time) bool {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.startedAt) >= 2*countPeriod {
		return false
	}
	total := make(map[string]counts, len(t.current))
	for _, period := range []map[string]counts{t.previous, t.current} {
		for name, n := range period {
			sum := total[name]
			total[name] = counts{asked: sum.asked + n.asked, onTime: sum.onTime + n.onTime}
		}
	}
	var demands []int
	capacity, isOtherDenied := 0, false
	for name, n := range total {
		demands = append(demands, n.asked)
		capacity += n.onTime
		isOtherDenied = isOtherDenied || name != workspace && n.asked > n.onTime
	}
	return isOtherDenied && float64(total[workspace].onTime) > fairLevel(demands, capacity)
}
