package cell_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"lycheecrank.example/cell"
)

// spread returns the servers of a pool, dealt out to data centres in turn.
func spread(servers int, dataCentres ...string) map[string]int {
	pool := map[string]int{}
	for n := range servers {
		pool[dataCentres[n%len(dataCentres)]]++
	}
	return pool
}

// Guards against cells with too few servers, against one coordinator for hundreds of
// instances, and against a division that changes when a third of a pool or a data centre
// fails.
func TestDivide(t *testing.T) {
	four := []string{"a", "b", "c", "d"}
	six := []string{"a", "b", "c", "d", "e", "f"}
	five := []string{"a", "b", "c", "d", "e"}
	var b strings.Builder
	for _, c := range []struct {
		name      string
		instances int
		pools     map[string]map[string]int
	}{
		{"8 instances, 4 to 5 servers a pool", 8, map[string]map[string]int{"encode": spread(5, four...), "rerank": spread(4, four...), "models": spread(18, four...)}},
		{"8 instances after servers were added", 8, map[string]map[string]int{"encode": spread(12, four...), "models": spread(40, four...)}},
		{"73 instances, 15 to 18 servers a pool", 73, map[string]map[string]int{"encode": spread(18, four...), "rerank": spread(15, four...), "models": spread(140, four...)}},
		{"73 instances, a third of a pool failed", 73, map[string]map[string]int{"encode": spread(18, four...), "rerank": spread(10, four...), "models": spread(140, four...)}},
		{"73 instances, one data centre lost", 55, map[string]map[string]int{"encode": spread(14, four[:3]...), "rerank": spread(11, four[:3]...), "models": spread(105, four[:3]...)}},
		{"73 instances, 4 servers in one pool", 73, map[string]map[string]int{"encode": spread(18, four...), "rerank": spread(4, four...), "models": spread(140, four...)}},
		{"74 instances in five data centres, a third of a pool failed", 74, map[string]map[string]int{"encode": spread(18, five...), "rerank": spread(9, five...), "models": spread(90, five...)}},
		{"74 instances in five data centres, 14 to 18 servers a pool", 74, map[string]map[string]int{"encode": spread(18, five...), "rerank": spread(14, five...), "models": spread(90, five...)}},
		{"295 instances, 35 to 43 servers a pool", 295, map[string]map[string]int{"encode": spread(42, six...), "rerank": spread(35, six...), "models": spread(160, six...)}},
		{"one data centre", 40, map[string]map[string]int{"encode": {"a": 40}}},
		{"no servers are listed yet", 40, nil},
	} {
		divided := cell.Divide(cell.Layout{}, 295, map[string]map[string]int{"models": spread(160, six...)})
		fmt.Fprintf(&b, "%-62s %q, if divided before %q\n", c.name, cell.Divide(cell.Layout{}, c.instances, c.pools).Cells(), cell.Divide(divided, c.instances, c.pools).Cells())
	}
	goldie.New(t).Assert(t, "divide", []byte(b.String()))
}

// Guards against work that leaves its cell without need, work for a cell without
// servers, and the whole work of an evacuated cell at one other cell.
func TestOrder(t *testing.T) {
	is := is.New(t)
	six := []string{"a", "b", "c", "d", "e", "f"}
	layout := cell.Divide(cell.Layout{}, 295, map[string]map[string]int{"encode": spread(42, six...)})
	all := func(string) bool { return true }
	withoutC := func(c string) bool { return c != "c" }
	second := map[string]int{}
	for n := range 1000 {
		id := fmt.Sprint("r", n)
		order := layout.Order("c", id, all)
		is.Equal(len(order), 6)
		is.Equal(order[0], "c")
		order = layout.Order("c", id, withoutC)
		is.Equal(len(order), 5)
		second[order[0]]++
	}
	is.Equal(len(second), 5)
	for _, n := range second {
		is.True(n > 150) // the share of each is 200
	}
	is.Equal(layout.Order("c", "r", func(string) bool { return false }), []string{"c"})
	is.Equal(cell.Layout{}.Order(cell.Whole, "r", all), []string{cell.Whole})
	is.True(layout.Contains("a", "a"))
	is.True(!layout.Contains("a", "b"))
	is.True(cell.Layout{}.Contains(cell.Whole, "b"))
}
