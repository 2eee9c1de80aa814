package catalogue

import (
	"cmp"
	"fmt"
	"net/netip"
	"regexp"
	"slices"

	"lycheecrank.example/request"
)

// Fault is a rule that an entry breaks.
type Fault struct {
	ID ID
	// Field is the name of the field in files, such as "limits.maxInFlight".
	Field   string
	Message string
	// Reference tells that the rule concerns another entry too, so that the entry
	// by itself can't tell whether it is broken.
	Reference bool
}

// String returns a sentence for people.
func (f Fault) String() string { return fmt.Sprintf("%s: %s: %s", f.ID, f.Field, f.Message) }

// Bounds of the fields of entries.
const (
	minStages   = 3
	maxStages   = 6
	maxRank     = 100
	maxWeight   = 1000
	maxShare    = 1000
	maxNameSize = 63
)

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]*$`)

// Check returns every rule that a set of entries breaks, in a fixed order.
func Check(entries []Entry) []Fault {
	c := checker{byID: map[ID]Entry{}}
	for _, e := range entries {
		c.byID[e.ID()] = e
	}
	for _, e := range entries {
		c.entry(e)
	}
	slices.SortFunc(c.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.ID.String(), b.ID.String()), cmp.Compare(a.Field, b.Field), cmp.Compare(a.Message, b.Message))
	})
	return c.faults
}

type checker struct {
	byID   map[ID]Entry
	faults []Fault
}

func (c *checker) add(e Entry, field, format string, args ...any) {
	c.faults = append(c.faults, Fault{ID: e.ID(), Field: field, Message: fmt.Sprintf(format, args...)})
}

// addReference adds a fault that depends on another entry.
func (c *checker) addReference(e Entry, field, format string, args ...any) {
	c.add(e, field, format, args...)
	c.faults[len(c.faults)-1].Reference = true
}

func (c *checker) entry(e Entry) {
	c.head(e)
	switch e.Kind {
	case ClassKind:
		c.class(e)
	case WorkspaceKind:
		c.within(e, "weight", e.Weight, 0, maxWeight)
	case DataCentreKind:
		c.dataCentre(e)
	case PoolKind:
		c.pool(e)
	case ServerKind:
		c.server(e)
	case PipelineKind:
		c.pipeline(e)
	case ServiceKind:
		c.service(e)
	default:
		c.add(e, "kind", "must be one of %v", Kinds())
		return
	}
	c.unused(e)
}

func (c *checker) head(e Entry) {
	if !namePattern.MatchString(e.Name) || len(e.Name) > maxNameSize {
		c.add(e, "name", "must be 1 to %d letters, digits, dots, underscores or hyphens", maxNameSize)
	}
	if e.Owner == "" {
		c.add(e, "owner", "must name who answers for the entry")
	}
	if e.Kind != ClassKind {
		c.refers(e, "class", ClassKind, e.Class)
	}
	c.within(e, "limits.maxInFlight", e.Limits.MaxInFlight, 0, 1_000_000)
	c.within(e, "limits.coldInFlight", e.Limits.ColdInFlight, 0, 1_000_000)
	c.within(e, "limits.maxQueued", e.Limits.MaxQueued, 0, 1_000_000)
	c.within(e, "limits.maxBodyBytes", e.Limits.MaxBodyBytes, 0, 8<<20)
	if e.Limits.MaxDeadline < 0 {
		c.add(e, "limits.maxDeadline", "must not be negative")
	}
}

func (c *checker) class(e Entry) {
	c.within(e, "rank", e.Rank, 0, maxRank)
	if e.Class != e.Name {
		c.add(e, "class", "must be the class's own name %q", e.Name)
	}
}

func (c *checker) dataCentre(e Entry) {
	if e.Region == "" {
		c.add(e, "region", "must not be empty")
	}
	c.state(e)
}

func (c *checker) state(e Entry) {
	if e.State != "" && e.State != InService && e.State != TakenOut {
		c.add(e, "state", "must be %s or %s", InService, TakenOut)
	}
}

func (c *checker) pool(e Entry) {
	if !slices.Contains(request.Kinds(), e.StageKind) {
		c.add(e, "stageKind", "must be one of %v", request.Kinds())
	}
	if e.Model != "" && e.StageKind != request.Generate {
		c.add(e, "model", "only pools of the stage kind %s have a model", request.Generate)
	}
}

func (c *checker) server(e Entry) {
	c.refers(e, "pool", PoolKind, e.Pool)
	c.refers(e, "dataCentre", DataCentreKind, e.DataCentre)
	if _, err := netip.ParseAddrPort(e.Address); err != nil {
		c.add(e, "address", "must be IP:port")
	}
	c.state(e)
	l := e.Limits.WithDefaults(ServerKind)
	if l.ColdInFlight > l.MaxInFlight {
		c.add(e, "limits.coldInFlight", "must not be above maxInFlight (%d)", l.MaxInFlight)
	}
}

func (c *checker) pipeline(e Entry) {
	if n := len(e.Stages); n < minStages || n > maxStages {
		c.add(e, "stages", "must be %d to %d, there are %d", minStages, maxStages, n)
	}
	seen := map[string]bool{}
	for i, s := range e.Stages {
		c.stage(e, fmt.Sprintf("stages[%d]", i), s)
		if seen[s.Name] {
			c.add(e, fmt.Sprintf("stages[%d].name", i), "stage %q stands twice", s.Name)
		}
		seen[s.Name] = true
	}
}

func (c *checker) stage(e Entry, field string, s Stage) {
	if s.Name == "" {
		c.add(e, field+".name", "must not be empty")
	}
	c.within(e, field+".share", s.Share, 0, maxShare)
	if !c.refers(e, field+".pool", PoolKind, s.Pool) {
		return
	}
	if p := c.byID[ID{PoolKind, s.Pool}]; p.StageKind != s.Kind {
		c.addReference(e, field+".kind", "is %q, but pool %s has the stage kind %q", s.Kind, s.Pool, p.StageKind)
	}
}

func (c *checker) service(e Entry) {
	if e.Operation == "" {
		c.add(e, "operation", "must not be empty")
	}
	if !c.refers(e, "pool", PoolKind, e.Pool) {
		return
	}
	if p := c.byID[ID{PoolKind, e.Pool}]; p.StageKind != request.Call {
		c.addReference(e, "pool", "must be a pool of the stage kind %s", request.Call)
	}
}

// unused finds fields that the entry's kind has no use for.
func (c *checker) unused(e Entry) {
	used := func(kinds ...Kind) bool { return slices.Contains(kinds, e.Kind) }
	fields := []struct {
		name string
		set  bool
		used bool
	}{
		{"rank", e.Rank != 0, used(ClassKind)},
		{"weight", e.Weight != 0, used(WorkspaceKind)},
		{"region", e.Region != "", used(DataCentreKind)},
		{"state", e.State != "", used(DataCentreKind, ServerKind)},
		{"stageKind", e.StageKind != "", used(PoolKind)},
		{"model", e.Model != "", used(PoolKind)},
		{"pool", e.Pool != "", used(ServerKind, ServiceKind)},
		{"dataCentre", e.DataCentre != "", used(ServerKind)},
		{"address", e.Address != "", used(ServerKind)},
		{"stages", len(e.Stages) > 0, used(PipelineKind)},
		{"repeatable", e.Repeatable, used(ServiceKind)},
		{"operation", e.Operation != "", used(ServiceKind)},
	}
	for _, f := range fields {
		if f.set && !f.used {
			c.add(e, f.name, "has no meaning for the kind %q", e.Kind)
		}
	}
}

func (c *checker) refers(e Entry, field string, k Kind, name string) bool {
	if name == "" {
		c.add(e, field, "must name a %s", k)
		return false
	}
	if _, ok := c.byID[ID{k, name}]; !ok {
		c.addReference(e, field, "%s %q is not in the catalogue", k, name)
		return false
	}
	return true
}

func (c *checker) within(e Entry, field string, n, low, high int) {
	if n < low || n > high {
		c.add(e, field, "must be %d to %d, is %d", low, high, n)
	}
}
