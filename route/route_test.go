package route

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
)

func sample() Configuration {
	routes := []Route{
		{Name: "all", Host: "shop.example", Prefix: "/", Targets: []Target{{Pool: "portal"}}, IsAnonymous: true},
		{Name: "orders", Host: "Shop.example", Prefix: "/orders/", Targets: []Target{{Pool: "registry"}}},
		{Name: "drafts", Host: "shop.example", Prefix: "/orders/drafts/", Kind: Stream, IsResumable: true, Targets: []Target{{Pool: "models", Weight: 90}, {Pool: "spare", Weight: 10}}},
	}
	workspaces := []Workspace{{Name: "parents", Keys: []string{"k1", "k2"}, Rank: 3, HasRank: true}, {Name: "lab", Keys: []string{"k3"}}}
	return NewConfiguration(7, Limits{}, routes, []Pool{{Name: "registry"}, {Name: "models", Engine: &Engine{}}}, workspaces)
}

// Guards against a request that is served by the route of another host or of a
// shorter prefix, and against an unknown key that is accepted.
func TestMatch(t *testing.T) {
	c := sample()
	var b strings.Builder
	for _, target := range []struct{ host, path string }{
		{"shop.example", "/"},
		{"shop.example", "/orders"},
		{"SHOP.example", "/orders/1"},
		{"shop.example", "/orders/drafts/1"},
		{"shop.example", "/ordersx/1"},
		{"other.example", "/orders/1"},
		{"", "/orders/1"},
	} {
		r, ok := c.Match(target.host, target.path)
		fmt.Fprintf(&b, "%-14s %-18s found %-5v %-7s needs key %v\n", target.host, target.path, ok, r.Name, ok && c.NeedsKey(r))
	}
	for _, key := range []string{"k1", "k2", "k3", "k4", ""} {
		w, ok := c.Workspace(key)
		fmt.Fprintf(&b, "key %-3q found %-5v %s\n", key, ok, w.Name)
	}
	goldie.New(t).Assert(t, "match", []byte(b.String()))
}

// Guards against a split that ignores the weights of the targets or sends requests
// with the same hash to different pools.
func TestSplit(t *testing.T) {
	is := is.New(t)
	r, _ := sample().Match("shop.example", "/orders/drafts/1")
	counts := map[string]int{}
	for h := range uint64(1000) {
		pool := r.Pool(h)
		is.Equal(pool, r.Pool(h)) // the same hash
		counts[pool]++
	}
	is.Equal(counts, map[string]int{"models": 900, "spare": 100})
	is.Equal(Route{Targets: []Target{{Pool: "only"}}}.Pool(5), "only")
	is.Equal(Route{Targets: []Target{{Pool: "a", Weight: -1}, {Pool: "b", Weight: 2}}}.Pool(1), "b")
}

// Guards against a return to an older configuration, and against refusals for a
// missing route while a newer configuration may exist.
func TestTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		q, c := table.Queries(), table.Commands()
		is.True(!q.IsCurrent(time.Now())) // no configuration
		is.True(c.Apply(Configuration{Version: 4}))
		is.True(!q.IsCurrent(time.Now())) // not confirmed
		c.Confirm(time.Now())
		is.True(q.IsCurrent(time.Now()))
		is.True(!c.Apply(Configuration{Version: 4}))
		is.True(!c.Apply(Configuration{Version: 3}))
		is.Equal(q.Current().Version, int64(4))
		time.Sleep(maxConfirmationAge + time.Millisecond)
		is.True(!q.IsCurrent(time.Now()))
		c.Confirm(time.Now().Add(-time.Hour)) // an old confirmation that arrives late
		is.True(!q.IsCurrent(time.Now()))
		c.Confirm(time.Now())
		is.True(q.IsCurrent(time.Now()))
		c.Invalidate()
		is.True(!q.IsCurrent(time.Now()))
	})
}
