package route

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"
)

// sound is a draft without a finding.
func sound() Draft {
	stage := func(name string) Pool {
		return Pool{Name: name, Batch: &Batch{Slots: 1, MaxPieces: 20, CallTime: 200 * time.Millisecond, PieceTime: 10 * time.Millisecond, ResultMemoryBytes: 1e6}}
	}
	return Draft{
		Version: 7,
		Routes: []DraftRoute{
			{Route: Route{
				Name: "drafts", Host: "a.example", Prefix: "/x/", Kind: Stream, IsResumable: true, Timeout: 6 * time.Second, Objective: 2 * time.Second, MaxServers: 3,
				Targets: []Target{{Pool: "models", Weight: 1}}, Stages: []Stage{{Pool: "encode"}, {Pool: "rerank", DependsOn: []int{0}}},
			}},
			{Route: Route{Name: "all", Host: "a.example", Prefix: "/", Targets: []Target{{Pool: "plain", Weight: 90}, {Pool: "spare"}}}, IgnoredPool: "plain"},
		},
		Pools:      []Pool{{Name: "models", Engine: &Engine{Slots: 4}}, stage("encode"), stage("rerank"), {Name: "plain"}, {Name: "spare"}},
		Workspaces: []Workspace{{Name: "parents", Keys: []string{"k1", "k2"}}},
	}
}

// Guards against a rule that is lost, that blames a sound configuration, or that blames
// another place: each row has one fault, and the golden file has the findings on it.
func TestCheck(t *testing.T) {
	is.New(t).Equal(len(Check(sound())), 0)
	var b strings.Builder
	for _, row := range []struct {
		name   string
		change func(d *Draft)
	}{
		{"version missing", func(d *Draft) { d.Version = 0 }},
		{"negative body", func(d *Draft) { d.Limits.MaxBodyBytes = -1 }},
		{"same host and prefix", func(d *Draft) { d.Routes[1].Host, d.Routes[1].Prefix = "A.example", "/x/" }},
		{"same and no route name", func(d *Draft) { d.Routes[1].Name = "drafts"; d.Routes = append(d.Routes, DraftRoute{}) }},
		{"host with port", func(d *Draft) { d.Routes[1].Host = "a.example:80" }},
		{"host with wildcard", func(d *Draft) { d.Routes[1].Host = "*.example" }},
		{"prefix without slashes", func(d *Draft) { d.Routes[0].Prefix = "x/"; d.Routes[1].Prefix = "/y" }},
		{"prefix with query", func(d *Draft) { d.Routes[1].Prefix = "/y?a=/" }},
		{"weights", func(d *Draft) { d.Routes[1].Targets[0].Weight = -1 }},
		{"pool twice, pool beside split", func(d *Draft) { d.Routes[1].Targets[1].Pool, d.Routes[1].IgnoredPool = "plain", "spare" }},
		{"unknown and missing pool", func(d *Draft) { d.Routes[1].Targets[0].Pool, d.Routes[1].Targets[1].Pool = "plane", "" }},
		{"stage server as target", func(d *Draft) { d.Routes[1].Targets[0].Pool = "encode" }},
		{"stages without engine", func(d *Draft) { d.Routes[0].Targets[0].Pool = "plain" }},
		{"times and attempts below 0", func(d *Draft) {
			d.Routes[1].Timeout, d.Routes[1].Objective, d.Routes[1].MaxEventGap, d.Routes[1].Rank, d.Routes[1].MaxServers = -1, -1, -1, -1, -1
		}},
		{"objective above timeout", func(d *Draft) { d.Routes[1].Timeout, d.Routes[1].Objective = time.Second, 2*time.Second }},
		{"attempts above timeout", func(d *Draft) { d.Routes[0].MaxServers = 4 }},
		{"refused attempts take no time", func(d *Draft) { d.Routes[0].MaxServers, d.Routes[0].IsResumable = 4, false }},
		{"stream options", func(d *Draft) { d.Routes[1].IsResumable, d.Routes[1].MaxEventGap = true, time.Second }},
		{"event gap above timeout", func(d *Draft) { d.Routes[0].MaxEventGap = 7 * time.Second }},
		{"dependencies", func(d *Draft) {
			d.Routes[0].Stages[0].DependsOn, d.Routes[0].Stages[1].DependsOn = []int{0, 1, -1}, []int{0, 0, 2}
		}},
		{"stage pools", func(d *Draft) { d.Routes[0].Stages[0].Pool, d.Routes[0].Stages[1].Pool = "models", "encod" }},
		{"no stage pool", func(d *Draft) { d.Routes[0].Stages[0].Pool = "" }},
		{"result size", func(d *Draft) { d.Routes[0].Stages[0].ResultBytes, d.Routes[0].Stages[1].ResultBytes = -1, 2e6 }},
		{"objective below stages", func(d *Draft) { d.Routes[0].Objective = 420 * time.Millisecond }},
		{"timeout below stages", func(d *Draft) { d.Routes[0].Timeout, d.Routes[0].Objective = 400*time.Millisecond, 0 }},
		{"pool names", func(d *Draft) { d.Pools = append(d.Pools, Pool{Name: "plain"}, Pool{}, Pool{Name: "unused"}) }},
		{"pool limits", func(d *Draft) {
			d.Pools[0].ColdRequestsPerSecond, d.Pools[0].Engine = -0.5, &Engine{MemoryTokens: -1}
			d.Pools[1].Batch = &Batch{-1, -1, -1, -1, -1, -1}
		}},
		{"engine and stage server", func(d *Draft) { d.Pools[0].Batch = &Batch{} }},
		{"workspace names", func(d *Draft) {
			d.Workspaces = append(d.Workspaces, Workspace{Keys: []string{"k3"}}, Workspace{Name: "parents", Keys: []string{"k4"}})
		}},
		{"keys", func(d *Draft) {
			d.Workspaces = append(d.Workspaces, Workspace{Name: "lab", Keys: []string{"k1", "k5", "k5", "", " k6", "k\n7"}, HasRank: true, Rank: -1}, Workspace{Name: "none"})
		}},
	} {
		d := sound()
		row.change(&d)
		fmt.Fprintln(&b, row.name)
		for _, f := range Check(d) {
			fmt.Fprintf(&b, "  %v %s: %s (%s) secret %v\n", f.Severity, f.Path, f.Problem, f.Allowed, f.IsSecret)
		}
	}
	goldie.New(t).Assert(t, "findings", []byte(b.String()))
}

// Guards against a route that is reported as unreachable although it serves requests, or
// is not reported although it never can: a route without such a finding must serve its
// own host and prefix, and one with it must not.
func TestUnreachableRoutes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d Draft
		for range rapid.IntRange(1, 6).Draw(t, "routes") {
			d.Routes = append(d.Routes, DraftRoute{Route: Route{
				Name:   fmt.Sprint(len(d.Routes)),
				Host:   rapid.SampledFrom([]string{"a", "A", "b", "a:80"}).Draw(t, "host"),
				Prefix: rapid.SampledFrom([]string{"/", "/x/", "/x/y/", "x/", "/x"}).Draw(t, "prefix"),
			}})
		}
		unreachable := map[Path]bool{}
		for _, f := range Check(d) {
			if strings.Contains(f.Problem, "can never match") {
				path, _, _ := strings.Cut(string(f.Path), ".")
				unreachable[Path(path)] = true
			}
		}
		for i, r := range d.Routes {
			// The front end removes ports and refuses paths that don't begin with a slash.
			host, _, _ := strings.Cut(r.Host, ":")
			matched, ok := d.Configuration().Match(host, "/"+strings.TrimPrefix(r.Prefix, "/"))
			isServed := ok && matched.Name == r.Name && matched.Host == r.Host
			if isServed == unreachable[Path("routes").Index(i)] {
				t.Fatalf("route %d of %+v: served %v", i, d.Routes, isServed)
			}
		}
	})
}

// Guards against a diff that hides a change, shows a key, or reports parts that have only
// changed their places.
func TestDifferences(t *testing.T) {
	is := is.New(t)
	part := func(name, value string, keys ...string) Part {
		return Part{Name: name, Fields: map[string]string{"a": "1", "b": value}, Secrets: map[string][]string{"keys": keys}}
	}
	before := []Part{part("r1", "2"), part("r2", "2"), part("w", "2", "k1", "k2"), part("r1", "3")}
	is.Equal(len(Differences(before, []Part{before[2], before[0], before[3], before[1]})), 0)
	is.Equal(Differences(before, []Part{part("r3", ""), part("r1", "2"), part("r1", "4"), part("w", "2", "k2", "k3", "k4")}), []Difference{
		{"r3", Added, []FieldDifference{{"a", "", "1"}}},
		{"r1 (2)", Changed, []FieldDifference{{"b", "3", "4"}}},
		{"w", Changed, []FieldDifference{{"keys", "2 (1 removed)", "3 (2 added)"}}},
		{"r2", Removed, []FieldDifference{{"a", "1", ""}, {"b", "2", ""}}},
	})
}
