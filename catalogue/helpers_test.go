package catalogue_test

import (
	"fmt"
	"testing"
	"time"

	"lycheecrank.example/catalogue"
	"lycheecrank.example/request"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func entry(k catalogue.Kind, name string) catalogue.Entry {
	e := catalogue.Entry{Kind: k, Name: name, Owner: "agency", Class: "recall"}
	if k == catalogue.DataCentreKind {
		e.Region = "fi-south"
	}
	return e
}

func pool(name string) catalogue.Entry {
	e := entry(catalogue.PoolKind, name)
	e.StageKind = request.Call
	return e
}

func service(name, pool string) catalogue.Entry {
	e := entry(catalogue.ServiceKind, name)
	e.Pool, e.Operation = pool, "lookup"
	return e
}

// editRecord returns a record with an edit that sets entries, based on their
// revisions.
func editRecord(id string, entries ...catalogue.Entry) catalogue.Record {
	e := catalogue.Edit{ID: id, Author: "aino", CreatedAt: start}
	for _, x := range entries {
		next := x.WithRevision(0)
		e.Changes = append(e.Changes, catalogue.Change{ID: x.ID(), BaseRevision: x.Revision, Entry: &next})
	}
	return catalogue.Record{Edit: &e}
}

// apply returns the catalogue after an edit that sets entries, and fails the test
// if the edit is not accepted.
func apply(t *testing.T, c catalogue.Catalogue, entries ...catalogue.Entry) catalogue.Catalogue {
	t.Helper()
	next, v := c.Apply(c.Offset+1, editRecord(fmt.Sprint("edit-", c.Offset+1), entries...))
	if v.Decision != catalogue.Accepted {
		t.Fatal(v.Decision, v.Detail)
	}
	return next
}
