package route

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Part is a named part of a configuration as it is written, such as a route or the
// limits. It is an immutable value.
type Part struct {
	// Name identifies the part in both of two configurations, such as "route r-1".
	Name string
	// Fields holds the written values by their paths within the part.
	Fields map[string]string
	// Secrets holds lists of values that must not be shown by their paths.
	Secrets map[string][]string
}

// Action tells what happens to a part of a configuration.
type Action string

// The actions.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Difference is a part that differs between two configurations. It is an immutable value.
type Difference struct {
	Part   string            `json:"part"`
	Action Action            `json:"action"`
	Fields []FieldDifference `json:"fields,omitempty"`
}

// FieldDifference is a field with its former and its new value. An empty value stands for
// a missing field, since written values are never empty.
type FieldDifference struct {
	Field  string `json:"key"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Differences returns the differences between the parts of two configurations: first the
// parts of the new one in its order, then the removed ones. The order of the parts makes
// no difference, and parts with the same name are compared in their order.
func Differences(before, after []Part) []Difference {
	old, next := uniqueNames(before), uniqueNames(after)
	former := make(map[string]Part, len(old))
	for _, p := range old {
		former[p.Name] = p
	}
	differences := []Difference{}
	for _, p := range next {
		was, ok := former[p.Name]
		delete(former, p.Name)
		d := Difference{Part: p.Name, Action: Changed, Fields: fieldDifferences(was, p)}
		if !ok {
			d.Action = Added
		}
		if !ok || len(d.Fields) > 0 {
			differences = append(differences, d)
		}
	}
	for _, p := range old {
		if _, ok := former[p.Name]; ok {
			differences = append(differences, Difference{Part: p.Name, Action: Removed, Fields: fieldDifferences(p, Part{})})
		}
	}
	return differences
}

// uniqueNames returns the parts with a number behind each name that occurred before.
func uniqueNames(parts []Part) []Part {
	counts := map[string]int{}
	unique := slices.Clone(parts)
	for i, p := range unique {
		counts[p.Name]++
		if n := counts[p.Name]; n > 1 {
			unique[i].Name = fmt.Sprintf("%s (%d)", p.Name, n)
		}
	}
	return unique
}

func fieldDifferences(before, after Part) []FieldDifference {
	var fields []FieldDifference
	names := maps.Clone(before.Fields)
	if names == nil {
		names = map[string]string{}
	}
	maps.Copy(names, after.Fields)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if was, is := before.Fields[name], after.Fields[name]; was != is {
			fields = append(fields, FieldDifference{name, was, is})
		}
	}
	secrets := maps.Clone(before.Secrets)
	if secrets == nil {
		secrets = map[string][]string{}
	}
	maps.Copy(secrets, after.Secrets)
	for _, name := range slices.Sorted(maps.Keys(secrets)) {
		removed, added := missing(before.Secrets[name], after.Secrets[name]), missing(after.Secrets[name], before.Secrets[name])
		if removed+added > 0 {
			fields = append(fields, FieldDifference{name, countText(len(before.Secrets[name]), removed, "removed"), countText(len(after.Secrets[name]), added, "added")})
		}
	}
	slices.SortStableFunc(fields, func(a, b FieldDifference) int { return strings.Compare(a.Field, b.Field) })
	return fields
}

// missing returns how many values are not among others.
func missing(values, others []string) int {
	count := 0
	for _, v := range values {
		if !slices.Contains(others, v) {
			count++
		}
	}
	return count
}

// countText describes a list of secrets by its length and how many of them are removed
// or added.
func countText(total, differing int, what string) string {
	if total == 0 {
		return ""
	}
	return fmt.Sprintf("%d (%d %s)", total, differing, what)
}
