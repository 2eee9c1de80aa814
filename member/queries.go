package member

// Queries reads a table without taking a lock. Concurrent calls are safe. The
// returned slices are shared and must not be changed.
type Queries struct{ table *Table }

// All returns all known instances, ordered by name.
func (q Queries) All() []Instance { return q.table.current.Load().All() }

// ByName returns an instance by its name.
func (q Queries) ByName(name string) (Instance, bool) { return q.table.current.Load().ByName(name) }

// InDataCentre returns all known instances of a data centre, ordered by name.
func (q Queries) InDataCentre(dataCentre string) []Instance {
	return q.table.current.Load().InDataCentre(dataCentre)
}

// Candidates returns the instances of a data centre that may be given new work, ordered by
// name.
func (q Queries) Candidates(dataCentre string) []Instance {
	var candidates []Instance
	for _, i := range q.InDataCentre(dataCentre) {
		if i.IsCandidate() {
			candidates = append(candidates, i)
		}
	}
	return candidates
}
