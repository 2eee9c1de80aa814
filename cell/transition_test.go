package cell_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/cell"
)

// Guards against a site that is divided, and stays divided, because new servers are
// listed beside the old ones during a release: the cells then have too few servers.
func TestReleaseDoesNotDivide(t *testing.T) {
	is := is.New(t)
	five := []string{"a", "b", "c", "d", "e"}
	divide := func(current cell.Layout, servers int) cell.Layout {
		return cell.Divide(current, 74, map[string]map[string]int{"rerank": spread(servers, five...), "models": spread(90, five...)})
	}
	started := time.Unix(1000, 0)
	var site cell.Transition
	step := func(at time.Duration, servers int) {
		site = site.WithProposal(divide(site.Layout, servers), at, started.Add(at))
	}
	step(time.Second, 14)
	for at := 20 * time.Second; at < 28*time.Second; at += time.Second {
		step(at, 19)
	}
	step(28*time.Second, 14)
	is.True(!site.Layout.IsDivided())
	step(30*time.Second, 19)
	step(39*time.Second, 20)
	is.True(!site.Layout.IsDivided()) // the time counts from the second release
	step(40*time.Second, 19)
	is.True(site.Layout.IsDivided()) // the pool has grown
	step(41*time.Second, 9)
	is.True(site.Layout.IsDivided())
	step(42*time.Second, 4)
	is.True(!site.Layout.IsDivided())
}

// Guards against a large site that is one cell for seconds after all instances restart.
func TestDivisionAfterStart(t *testing.T) {
	is := is.New(t)
	divided := cell.Divide(cell.Layout{}, 295, map[string]map[string]int{"models": spread(160, "a", "b")})
	site := cell.Transition{}.WithProposal(divided, 2*time.Second, time.Unix(1000, 0))
	is.True(site.Layout.IsDivided())
}
