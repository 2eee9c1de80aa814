package catalogue

import (
	"cmp"
	"fmt"
	"net/netip"
	"regexp"
	"slices"

	"lycheecrank.example/request"
)

// Fault is a violation of a rule by an entry.
type Fault struct {
	ID ID
	// Field is the name of the field in files, such as "limits.maxInFlight".
	Field   string
	Message string
	// IsCrossEntry reports that the rule also depends on another entry, so it can't
	// be checked with the entry alone.
	IsCrossEntry bool
}

// String returns ID: FIELD: MESSAGE.
func (f Fault) String() string { return fmt.Sprintf("%s: %s: %s", f.ID, f.Field, f.Message) }

// Bounds of the fields of entries; maxNameSize is in bytes.
const (
	minStages   = 3
	maxStages   = 6
	maxRank     = 100
	maxWeight   = 1000
	maxShare    = 1000
	maxNameSize = 63
)

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]*$`)

// Check returns all violations of rules in a set of entries, sorted by entry and
// field.
func Check(entries []Entry) []Fault {
	c := checker{byID: map[ID]Entry{}}
	for _, e := range entries {
		c.byID[e.ID()] = e
	}
	for _, e := range entries {
		c.checkEntry(e)
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

func (c *checker) addFault(e Entry, field, format string, args ...any) {
	c.faults = append(c.faults, Fault{ID: e.ID(), Field: field, Message: fmt.Sprintf(format, args...)})
}

// addCrossEntryFault adds a fault of a rule that also depends on another entry.
func (c *checker) addCrossEntryFault(e Entry, field, format string, args ...any) {
	c.addFault(e, field, format, args...)
	c.faults[len(c.faults)-1].IsCrossEntry = true
}

func (c *checker) checkEntry(e Entry) {
	c.checkCommonFields(e)
	switch e.Kind {
	case ClassKind:
		c.checkClass(e)
	case WorkspaceKind:
		c.checkRange(e, "weight", e.Weight, 0, maxWeight)
	case DataCentreKind:
		c.checkDataCentre(e)
	case PoolKind:
		c.checkPool(e)
	case ServerKind:
		c.checkServer(e)
	case PipelineKind:
		c.checkPipeline(e)
	case ServiceKind:
		c.checkService(e)
	default:
		c.addFault(e, "kind", "must be one of %v, got %q", Kinds(), e.Kind)
		return
	}
	c.checkUnusedFields(e)
}

func (c *checker) checkCommonFields(e Entry) {
	if !namePattern.MatchString(e.Name) || len(e.Name) > maxNameSize {
		c.addFault(e, "name", "must be 1 to %d letters, digits, dots, underscores or hyphens, the first a letter or digit, got %q", maxNameSize, e.Name)
	}
	if e.Owner == "" {
		c.addFault(e, "owner", "must not be empty; set the person or team responsible for the entry")
	}
	if e.Kind != ClassKind {
		c.checkReference(e, "class", ClassKind, e.Class)
	}
	c.checkRange(e, "limits.maxInFlight", e.Limits.MaxInFlight, 0, 1_000_000)
	c.checkRange(e, "limits.coldInFlight", e.Limits.ColdInFlight, 0, 1_000_000)
	c.checkRange(e, "limits.maxQueued", e.Limits.MaxQueued, 0, 1_000_000)
	c.checkRange(e, "limits.maxBodyBytes", e.Limits.MaxBodyBytes, 0, 8<<20)
	if e.Limits.MaxDeadline < 0 {
		c.addFault(e, "limits.maxDeadline", "must not be negative, got %s", e.Limits.MaxDeadline)
	}
}

func (c *checker) checkClass(e Entry) {
	c.checkRange(e, "rank", e.Rank, 0, maxRank)
	if e.Class != e.Name {
		c.addFault(e, "class", "must be the name of the class itself, %q, got %q", e.Name, e.Class)
	}
}

func (c *checker) checkDataCentre(e Entry) {
	if e.Region == "" {
		c.addFault(e, "region", "must not be empty")
	}
	c.checkState(e)
}

func (c *checker) checkState(e Entry) {
	if e.State != "" && e.State != InService && e.State != TakenOut {
		c.addFault(e, "state", "must be %s or %s, got %q", InService, TakenOut, e.State)
	}
}

func (c *checker) checkPool(e Entry) {
	if !slices.Contains(request.Kinds(), e.StageKind) {
		c.addFault(e, "stageKind", "must be one of %v, got %q", request.Kinds(), e.StageKind)
	}
	if e.Model != "" && e.StageKind != request.Generate {
		c.addFault(e, "model", "allowed only for pools of the stage kind %s, got %q for the stage kind %q", request.Generate, e.Model, e.StageKind)
	}
}

func (c *checker) checkServer(e Entry) {
	c.checkReference(e, "pool", PoolKind, e.Pool)
	c.checkReference(e, "dataCentre", DataCentreKind, e.DataCentre)
	if _, err := netip.ParseAddrPort(e.Address); err != nil {
		c.addFault(e, "address", "must be IP:port, got %q", e.Address)
	}
	c.checkState(e)
	l := e.Limits.WithDefaults(ServerKind)
	if l.ColdInFlight > l.MaxInFlight {
		c.addFault(e, "limits.coldInFlight", "must not be above maxInFlight (%d), got %d", l.MaxInFlight, l.ColdInFlight)
	}
}

func (c *checker) checkPipeline(e Entry) {
	if n := len(e.Stages); n < minStages || n > maxStages {
		c.addFault(e, "stages", "must have %d to %d elements, got %d", minStages, maxStages, n)
	}
	seen := map[string]bool{}
	for i, s := range e.Stages {
		c.checkStage(e, fmt.Sprintf("stages[%d]", i), s)
		if seen[s.Name] {
			c.addFault(e, fmt.Sprintf("stages[%d].name", i), "duplicate stage name %q", s.Name)
		}
		seen[s.Name] = true
	}
}

func (c *checker) checkStage(e Entry, field string, s Stage) {
	if s.Name == "" {
		c.addFault(e, field+".name", "must not be empty")
	}
	c.checkRange(e, field+".share", s.Share, 0, maxShare)
	if !c.checkReference(e, field+".pool", PoolKind, s.Pool) {
		return
	}
	if p := c.byID[ID{PoolKind, s.Pool}]; p.StageKind != s.Kind {
		c.addCrossEntryFault(e, field+".kind", "stage kind %q does not match pool %q, which has the stage kind %q", s.Kind, s.Pool, p.StageKind)
	}
}

func (c *checker) checkService(e Entry) {
	if e.Operation == "" {
		c.addFault(e, "operation", "must not be empty")
	}
	if !c.checkReference(e, "pool", PoolKind, e.Pool) {
		return
	}
	if p := c.byID[ID{PoolKind, e.Pool}]; p.StageKind != request.Call {
		c.addCrossEntryFault(e, "pool", "must be a pool of the stage kind %s, but pool %q has the stage kind %q", request.Call, e.Pool, p.StageKind)
	}
}

// checkUnusedFields reports fields that are set but don't apply to the kind of
// the entry.
func (c *checker) checkUnusedFields(e Entry) {
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
			c.addFault(e, f.name, "not allowed for the kind %q", e.Kind)
		}
	}
}

// checkReference reports whether an entry of kind k with that name exists, and
// adds a fault if not.
func (c *checker) checkReference(e Entry, field string, k Kind, name string) bool {
	if name == "" {
		c.addFault(e, field, "must not be empty; set the name of a %s", k)
		return false
	}
	if _, ok := c.byID[ID{k, name}]; !ok {
		c.addCrossEntryFault(e, field, "%s %q is not in the catalogue", k, name)
		return false
	}
	return true
}

func (c *checker) checkRange(e Entry, field string, n, low, high int) {
	if n < low || n > high {
		c.addFault(e, field, "must be %d to %d, got %d", low, high, n)
	}
}
