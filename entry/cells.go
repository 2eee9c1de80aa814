package entry

import (
	"time"

	"lycheecrank.example/cell"
	"lycheecrank.example/event"
	"lycheecrank.example/fleet"
	"lycheecrank.example/membership"
	"lycheecrank.example/preparation"
	"lycheecrank.example/route"
)

// division is the layout of the site with the servers that may get work. It is an
// immutable value.
type division struct {
	layout cell.Layout
	// transition holds the layout with a division that is not in force yet.
	transition cell.Transition
	// usable holds the number of usable servers by pool and cell.
	usable map[string]map[string]int
}

// canServe reports whether a cell has a server of each pool that a request needs.
func (d division) canServe(name string, task preparation.Task) bool {
	for _, s := range task.Stages {
		if s.Pieces > 0 && d.usable[s.Pool][name] == 0 {
			return false
		}
	}
	return d.usable[task.Pool][name] > 0
}

// order returns the cells that may prepare a request, that of its instance first.
func (d division) order(own string, task preparation.Task) []string {
	return d.layout.Order(own, task.RequestID, func(name string) bool { return d.canServe(name, task) })
}

// updateDivision divides the site anew, according to the known instances and the listed
// servers of the pools that coordinators use.
func (i *Instance) updateDivision(pools []route.Pool, usable map[string][]fleet.Server) division {
	now := time.Now()
	listed := i.fleet.Queries().Listed(func(s fleet.Server) bool { return i.serves(s, now) })
	divided := map[string]map[string]int{}
	for _, p := range pools {
		if p.Engine != nil || p.Batch != nil {
			divided[p.Name] = listed[p.Name]
		}
	}
	old, now := i.division.Load(), time.Now()
	proposal := i.Divide(old.layout, i.view().Size(), divided)
	transition := old.transition.WithProposal(proposal, now.Sub(i.startedAt), now)
	next := division{layout: transition.Layout, transition: transition, usable: map[string]map[string]int{}}
	for name := range divided {
		counts := map[string]int{}
		for _, s := range usable[name] {
			if i.serves(s, now) {
				counts[next.layout.Of(s.DataCentre)]++
			}
		}
		next.usable[name] = counts
	}
	if old = i.division.Swap(&next); !old.layout.Equal(next.layout) {
		i.Logger.Write(event.SiteDivided, next.layout.Cells(), i.view().Size())
	}
	return next
}

// ownCell returns the name of the cell of this instance.
func (i *Instance) ownCell() string { return i.division.Load().layout.Of(i.Settings.DataCentre) }

// scopeOf returns the instances of a cell.
func (i *Instance) scopeOf(name string) membership.Scope {
	layout := i.division.Load().layout
	return membership.Scope{Contains: func(dataCentre string) bool { return layout.Contains(name, dataCentre) }}
}

// ownScope returns the instances of the cell of this instance.
func (i *Instance) ownScope() membership.Scope { return i.scopeOf(i.ownCell()) }

// coordinatorOf returns the coordinator of a cell according to this instance, or false
// if it knows none. An instance has no regular contact with other cells, so that it
// takes their first candidate.
func (i *Instance) coordinatorOf(name string, now time.Time) (membership.Instance, bool) {
	if name == i.ownCell() {
		return i.view().Coordinator(i.ownScope(), now), true
	}
	candidates := i.view().Candidates(i.scopeOf(name), now)
	if len(candidates) == 0 {
		return membership.Instance{}, false
	}
	return candidates[0], true
}

// inCell returns the servers that belong to a cell.
func inCell(servers []fleet.Server, layout cell.Layout, name string) []fleet.Server {
	if !layout.IsDivided() {
		return servers
	}
	var selected []fleet.Server
	for _, s := range servers {
		if layout.Contains(name, s.DataCentre) {
			selected = append(selected, s)
		}
	}
	return selected
}
