package route

import (
	"fmt"
	"strings"
	"time"
)

// Check returns the findings on a draft, in its order.
func Check(d Draft) Findings {
	c := checker{pools: map[string]Pool{}}
	for _, p := range d.Pools {
		c.pools[p.Name] = p
	}
	if d.Version < 1 {
		c.add(Error, "version", "the version is below the least one, so the configuration is not adopted", "at least 1")
	}
	if d.Limits.MaxBodyBytes < 0 {
		c.add(Error, Path("limits").Field("maxBodyBytes"), "negative, so the default holds", "at least 0")
	}
	c.checkRoutes(d.Routes)
	c.checkPools(d)
	c.checkWorkspaces(d.Workspaces)
	return c.findings
}

// CheckUpdate returns the findings on a draft that is to replace an active one.
func CheckUpdate(active, next Draft) Findings {
	var c checker
	if next.Version <= active.Version && next.Version >= 1 {
		c.add(Error, "version", "not newer than the active configuration, so it is not adopted", fmt.Sprintf("at least %d", active.Version+1))
	}
	return c.findings
}

// checker collects the findings on a draft.
type checker struct {
	pools    map[string]Pool
	findings Findings
}

func (c *checker) add(s Severity, path Path, problem, allowed string) {
	c.findings = append(c.findings, Finding{Severity: s, Path: path, Problem: problem, Allowed: allowed})
}

// atLeast adds an error if a value is below its least one.
func atLeast[T int | int64 | float64 | time.Duration](c *checker, path Path, value, least T) {
	if value < least {
		c.add(Error, path, "below the least value", fmt.Sprintf("at least %v", least))
	}
}

// names finds names that are used twice.
type names map[string]int

// add returns the index of the first use of a name, or false if this is the first one.
func (n names) add(name string, index int) (int, bool) {
	first, ok := n[name]
	if !ok {
		n[name] = index
	}
	return first, ok
}

func (c *checker) checkPools(d Draft) {
	used := map[string]bool{}
	for _, r := range d.Routes {
		for _, t := range r.Targets {
			used[t.Pool] = true
		}
		for _, s := range r.Stages {
			used[s.Pool] = true
		}
	}
	seen := names{}
	for i, p := range d.Pools {
		path := Path("pools").Index(i)
		first, isDuplicate := seen.add(p.Name, i)
		switch {
		case p.Name == "":
			c.add(Error, path.Field("name"), "the pool has no name, so no route can use it", "a name")
		case isDuplicate:
			c.add(Error, path.Field("name"), fmt.Sprintf("also the name of %s, which has no effect: the last pool with a name counts", Path("pools").Index(first)), "a name of its own")
		case !used[p.Name]:
			c.add(Warning, path.Field("name"), "no route uses the pool", "a pool of a route")
		}
		atLeast(c, path.Field("coldRequestsPerSecond"), p.ColdRequestsPerSecond, 0)
		if e := p.Engine; e != nil {
			atLeast(c, path.Field("engine").Field("slots"), e.Slots, 1)
			atLeast(c, path.Field("engine").Field("memoryTokens"), e.MemoryTokens, 0)
		}
		if b := p.Batch; b != nil {
			c.checkBatch(path.Field("batch"), *b)
		}
		if p.Engine != nil && p.Batch != nil {
			c.add(Error, path.Field("batch"), "the pool has engines too, so its stage servers get no work", "either engines or stage servers")
		}
	}
}

func (c *checker) checkBatch(path Path, b Batch) {
	atLeast(c, path.Field("slots"), b.Slots, 0)
	atLeast(c, path.Field("maxPieces"), b.MaxPieces, 0)
	atLeast(c, path.Field("callTime"), b.CallTime, 0)
	atLeast(c, path.Field("pieceTime"), b.PieceTime, 0)
	atLeast(c, path.Field("resultMemory"), b.ResultMemoryBytes, 0)
	atLeast(c, path.Field("resultLifetime"), b.ResultLifetime, 0)
}

func (c *checker) checkWorkspaces(workspaces []Workspace) {
	type place struct{ workspace, key int }
	seen, holders := names{}, map[string]place{}
	for i, w := range workspaces {
		path := Path("workspaces").Index(i)
		if first, isDuplicate := seen.add(w.Name, i); w.Name == "" {
			c.add(Error, path.Field("name"), "the workspace has no name, so its keys belong to none", "a name")
		} else if isDuplicate {
			c.add(Warning, path.Field("name"), fmt.Sprintf("also the name of %s", Path("workspaces").Index(first)), "a name of its own")
		}
		if len(w.Keys) == 0 {
			c.add(Warning, path.Field("keys"), "no request can belong to a workspace without keys", "at least one key")
		}
		if w.HasRank {
			atLeast(c, path.Field("rank"), w.Rank, 0)
		}
		for n, key := range w.Keys {
			at := path.Field("keys").Index(n)
			first, isDuplicate := holders[key]
			holders[key] = place{i, n}
			switch {
			case key == "":
				c.addKey(Error, at, "requests without a key belong to this workspace", "a key that is not empty")
			case !isSendable(key):
				c.addKey(Error, at, "no request can have this key", "letters, digits and punctuation without blanks at the ends")
			case isDuplicate && first.workspace == i:
				c.addKey(Warning, at, "the workspace has the key twice", "each key once")
			case isDuplicate:
				c.addKey(Error, at, fmt.Sprintf("also the key of %s, which can never match: the last workspace with a key counts", Path("workspaces").Index(first.workspace).Field("keys").Index(first.key)), "a key of one workspace")
			}
		}
	}
}

// addKey adds a finding on the key of a client, whose value must not be shown.
func (c *checker) addKey(s Severity, path Path, problem, allowed string) {
	c.findings = append(c.findings, Finding{Severity: s, Path: path, Problem: problem, Allowed: allowed, IsSecret: true})
}

// isSendable reports whether a client can send a key: blanks at its ends are removed and
// control characters are refused on the way.
func isSendable(key string) bool {
	return key == strings.TrimSpace(key) && !strings.ContainsFunc(key, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f })
}
