package drain

import (
	"time"

	"lycheecrank.example/lock"
)

// Phase is what an attempt waits for.
type Phase int

// Phases of an attempt.
const (
	// Reading: the rest of its body.
	Reading Phase = iota
	// Waiting: its preparation, a server with capacity, or another try.
	Waiting
	// Sent: the answer of the server that it was sent to.
	Sent
	// Answering: the rest of the answer, of which a part was forwarded to the client.
	Answering
)

// String returns the name of the phase in log lines.
func (p Phase) String() string {
	return [...]string{"reading", "waiting", "sent", "answering"}[p]
}

// Attempt is a request of a client without a complete answer. It is an immutable value.
type Attempt struct {
	ID        string
	Phase     Phase
	ArrivedAt time.Time
}

// WithPhase returns the attempt in another phase.
func (a Attempt) WithPhase(p Phase) Attempt {
	a.Phase = p
	return a
}

// Key identifies an attempt in a table. The IDs of attempts are chosen by clients and
// needn't be unique.
type Key uint64

// Table holds the unanswered attempts of an instance.
type Table struct {
	mu       *lock.Ranked
	lastKey  Key
	attempts map[Key]Attempt
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{mu: lock.New(lock.RankDrain, "drain"), attempts: map[Key]Attempt{}}
}

// Commands returns the write access to the table.
func (t *Table) Commands() Commands { return Commands{t} }

// Queries returns the read access to the table.
func (t *Table) Queries() Queries { return Queries{t} }
