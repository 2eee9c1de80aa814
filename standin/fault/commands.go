package fault

// Commands changes the fault. Concurrent calls are safe.
type Commands struct {
	table *Table
}

// NewCommands returns the commands of a table.
func NewCommands(t *Table) *Commands { return &Commands{table: t} }

// Set replaces the fault and releases the calls that the former one froze.
func (c *Commands) Set(f Fault) {
	t := c.table
	t.lock.Lock()
	defer t.lock.Unlock()
	t.current = f
	close(t.changed)
	t.changed = make(chan struct{})
}

// Take returns the fault of a new call and counts the call.
func (c *Commands) Take(method string) Call {
	t := c.table
	t.lock.Lock()
	defer t.lock.Unlock()
	f := t.current
	if !f.Covers(method) {
		return Call{Ended: t.changed}
	}
	switch f.Remaining {
	case 0:
	case 1:
		t.current = Fault{}
	default:
		t.current = f.WithRemaining(f.Remaining - 1)
	}
	return Call{Fault: f, Ended: t.changed}
}

// Stop releases frozen calls and ends the streams that have no end of their own.
func (c *Commands) Stop() {
	t := c.table
	t.lock.Lock()
	defer t.lock.Unlock()
	if !t.stopped {
		t.stopped = true
		close(t.stopping)
	}
}
