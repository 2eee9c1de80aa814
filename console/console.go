// Package console holds the logic of the operators' command line: it edits the
// catalogue through the platform's log, asks the instances for their state, and
// checks decision records. Results are values with a text for people and JSON
// for scripts.
package console

import (
	"context"
	"net/http"
	"time"

	"lycheecrank.example/catalogue"
	"lycheecrank.example/editor"
	"lycheecrank.example/operator"
	"lycheecrank.example/precedence"
	"lycheecrank.example/provider"
)

// Console is what commands and queries work with. Set the exported fields
// before use. Concurrent calls are safe.
type Console struct {
	// Load reads the catalogue and its history.
	Load func(ctx context.Context) (editor.History, error)
	// Submit appends an edit and returns the verdict on it.
	Submit func(ctx context.Context, e catalogue.Edit) (catalogue.Verdict, error)
	// List returns the platform's list of instances.
	List func(ctx context.Context) ([]provider.Instance, error)
	// Read returns a page of a stream of the log.
	Read func(ctx context.Context, stream string, from uint64) (provider.Page, error)
	// Anchors returns the ends of the chains of decision records, if they are kept apart
	// from the records; nil if they aren't, or are not asked for.
	Anchors func(ctx context.Context) ([]precedence.Anchor, error)
	// Operator returns the client for the instance at an address.
	Operator func(address string) operator.Client
	// Seeds are addresses of instances to ask besides the platform's list.
	Seeds []string
	// Author names the operator in edits and holds.
	Author string
	// Timeout bounds each call to the platform or to an instance.
	Timeout time.Duration
}

// New returns a console for the platform at a base URL.
func New(client *http.Client, platformURL string, timeout time.Duration) *Console {
	log := provider.NewLog(client, platformURL)
	instances := provider.NewInstances(client, platformURL)
	e := editor.Editor{Log: log, CallTimeout: timeout}
	return &Console{
		Load: e.Load, Submit: e.Submit, List: instances.List, Read: log.Read,
		Operator: func(address string) operator.Client { return operator.NewClient(client, "http://"+address) },
		Timeout:  timeout,
	}
}

// Commands returns what changes the system.
func (c *Console) Commands() Commands { return Commands{console: c, queries: c.Queries()} }

// Queries returns what reads the system.
func (c *Console) Queries() Queries { return Queries{console: c} }

// Commands changes the catalogue and places holds.
type Commands struct {
	console *Console
	queries Queries
}

// Queries reads the catalogue, the instances and the decision records.
type Queries struct {
	console *Console
}
