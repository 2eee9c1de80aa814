package entry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/feed"
	"lycheecrank.example/fleet"
	"lycheecrank.example/platform"
)

// oddEntries returns entries that another writer left among those of the servers.
func oddEntries() map[string]string {
	nested := func(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }
	entry := func(change string) string {
		fields := `"service":"registry","address":"127.0.0.1:9","zone":"a","version":"v1","slots":4,"state":"ready","coldRemainingMs":0,"sequence":1,"born":1`
		return "{" + fields + "," + change + "}"
	}
	without := func(field string) string {
		fields := map[string]string{
			"service": `"registry"`, "address": `"127.0.0.1:9"`, "zone": `"a"`, "version": `"v1"`, "slots": "4", "state": `"ready"`, "coldRemainingMs": "0", "sequence": "1", "born": "1",
		}
		delete(fields, field)
		var list []string
		for name, value := range fields {
			list = append(list, fmt.Sprintf("%q:%s", name, value))
		}
		return "{" + strings.Join(list, ",") + "}"
	}
	return map[string]string{
		"without service":         without("service"),
		"without address":         without("address"),
		"without zone":            without("zone"),
		"without version":         without("version"),
		"without slots":           without("slots"),
		"without state":           without("state"),
		"without coldRemainingMs": without("coldRemainingMs"),
		"without sequence":        without("sequence"),
		"without born":            without("born"),
		"born is no number":       entry(`"born":"1"`),
		"slots are null":          strings.Replace(entry(`"more":1`), `"slots":4`, `"slots":null`, 1),
		"nested":                  entry(`"more":` + nested(9_000)),
		"nested deeply":           entry(`"more":` + nested(100_000)),
		"only nested":             nested(100_000),
		"slots":                   entry(`"slots":9223372036854775807`),
		"slots too long":          entry(`"slots":1e400`),
		"cold time":               entry(`"coldRemainingMs":1e300`),
		"start time":              entry(`"born":1e30`),
		"port":                    entry(`"address":"127.0.0.1:99999"`),
		"port 0":                  entry(`"address":"127.0.0.1:0"`),
		"negative port":           entry(`"address":"127.0.0.1:-1"`),
		"no address":              entry(`"address":"somewhere"`),
		"types":                   entry(`"service":["registry"]`),
		"state":                   entry(`"state":"dancing"`),
		"bytes":                   "\x00\xff\xfe",
	}
}

// isUsable reports whether an odd entry is taken for a server. One that is nested within
// the limit of the decoder, and otherwise right, may be.
func isUsable(decode func(id string, data []byte) (fleet.Server, error), name, text string) bool {
	_, err := decode(name, []byte(text))
	return err == nil && name != "nested"
}

// Guards against odd entries of another writer that end the instances, keep them from
// following the list, or are used as servers.
func TestOddEntries(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	decode := func(id string, data []byte) (fleet.Server, error) {
		return platform.DecodeServer(id, data, feed.Position{Offset: 1}, time.Now())
	}
	// The broken variant takes every entry that names a service and an address.
	broken := func(id string, _ []byte) (fleet.Server, error) { return fleet.Server{ID: id}, nil }
	found := 0
	for name, text := range oddEntries() {
		is.True(!isUsable(decode, name, text))
		if isUsable(broken, name, text) {
			found++
		}
	}
	is.True(found > 0) // the check finds the broken variant

	s := newTestSite(t)
	for name, text := range oddEntries() {
		if name != "nested" {
			s.store.Put(platform.ServerStream, "odd "+name, []byte(text))
		}
	}
	s.start("n1", "n2")
	for name, text := range oddEntries() {
		if name != "nested" {
			s.store.Put(platform.ServerStream, "later "+name, []byte(text))
		}
	}
	s.addWorker("registry-3", "registry")
	for _, n := range s.instances {
		s.waitFor("the server after the odd entries is listed", func() bool { return len(n.fleet.Queries().Usable(time.Now())["registry"]) == 3 })
		for m := range 12 {
			status, _, _ := n.send("GET", fmt.Sprintf("/lookup/%d", m), "key-1")
			is.Equal(status, 200)
		}
	}
}
