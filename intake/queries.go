package intake

// Queries reads a Table. It is safe for concurrent use.
type Queries struct {
	table *Table
}

// Status is the state of an account.
type Status struct {
	UsedBytes   int64          `json:"usedBytes"`
	MemoryBytes int64          `json:"memoryBytes"`
	Requests    int            `json:"requests"`
	Waiting     int            `json:"waiting"`
	Connections map[string]int `json:"connections"`
	// MaxConnections are the limits of Connections.
	MaxConnections map[string]int `json:"maxConnections"`
}

// Status returns the state of the account.
func (q Queries) Status() Status {
	t := q.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Status{
		UsedBytes: t.used, MemoryBytes: t.bounds.Memory, Requests: len(t.requests), Waiting: len(t.waiting),
		Connections: map[string]int{}, MaxConnections: map[string]int{},
	}
	for class := range classCount {
		s.Connections[class.String()] = len(t.connections[class])
		s.MaxConnections[class.String()] = t.bounds.Connections[class]
	}
	return s
}
