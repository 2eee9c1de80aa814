package console

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"

	"lycheecrank.example/catalogue"
)

// Difference is one change that an edit makes to the catalogue.
type Difference struct {
	Entry string `json:"entry"`
	// Action is create, change or delete.
	Action  string `json:"action"`
	BasedOn uint64 `json:"basedOn"`
	// Fields are the fields that differ.
	Fields []FieldDifference `json:"fields,omitempty"`
}

// FieldDifference is a field with its former and its new value; empty stands
// for a field that is not set.
type FieldDifference struct {
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Differences are the changes of an edit, in the order of the file.
type Differences []Difference

// Text returns the differences for people.
func (d Differences) Text() string {
	if len(d) == 0 {
		return "no differences\n"
	}
	var b strings.Builder
	for _, x := range d {
		fmt.Fprintf(&b, "%s %s", x.Action, x.Entry)
		if x.BasedOn > 0 {
			fmt.Fprintf(&b, " (revision %d)", x.BasedOn)
		}
		b.WriteByte('\n')
		for _, f := range x.Fields {
			fmt.Fprintf(&b, "  %s: %s -> %s\n", f.Field, orNone(cell(f.Before)), orNone(cell(f.After)))
		}
	}
	return b.String()
}

func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}

// differences describes the changes of an edit to a catalogue.
func differences(c catalogue.Catalogue, changes []catalogue.Change) Differences {
	all := Differences{}
	for _, ch := range changes {
		current, known := c.Entry(ch.ID.Kind, ch.ID.Name)
		d := Difference{Entry: ch.ID.String(), Action: "change", BasedOn: ch.BaseRevision}
		var before, after map[string]string
		if known {
			before = flatEntry(current)
		} else {
			d.Action = "create"
		}
		if ch.Entry != nil {
			after = flatEntry(*ch.Entry)
		} else {
			d.Action = "delete"
		}
		for _, field := range unionOfKeys(before, after) {
			if before[field] != after[field] {
				d.Fields = append(d.Fields, FieldDifference{Field: field, Before: before[field], After: after[field]})
			}
		}
		all = append(all, d)
	}
	return all
}

func unionOfKeys(a, b map[string]string) []string {
	keys := maps.Clone(a)
	if keys == nil {
		keys = map[string]string{}
	}
	maps.Copy(keys, b)
	return slices.Sorted(maps.Keys(keys))
}

// flatEntry returns the fields of an entry by their paths in files, without its
// identity and revision.
func flatEntry(e catalogue.Entry) map[string]string {
	flat := map[string]string{}
	data, err := yaml.Marshal(e.WithRevision(0))
	if err != nil {
		return flat
	}
	var fields map[string]any
	if yaml.Unmarshal(data, &fields) != nil {
		return flat
	}
	delete(fields, "kind")
	delete(fields, "name")
	flatten(flat, "", fields)
	return flat
}

func flatten(flat map[string]string, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for key, x := range v {
			flatten(flat, strings.TrimPrefix(path+"."+key, "."), x)
		}
	case []any:
		for n, x := range v {
			flatten(flat, path+"["+strconv.Itoa(n)+"]", x)
		}
	default:
		flat[path] = fmt.Sprint(v)
	}
}
