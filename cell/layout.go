// Package cell divides a large site into cells, so that the work of a coordinator
// doesn't grow with the site. A cell is a part of the site with a coordinator of its
// own: the coordinator has the stages of its cell's requests computed by the stage
// servers of the cell and reserves the engines of the cell. A small site is one cell.
//
// The division is a pure function of the division so far and of values that all
// instances know and that change rarely, so that instances agree on it without messages.
// Instances that disagree, such as one that has started while a pool is reduced, send a
// server more calls than it has slots, as two coordinators at a time do; no guarantee
// depends on the division.
package cell

import (
	"maps"
	"slices"
)

// Whole is the name of the only cell of a site that isn't divided.
const Whole = ""

const (
	// minInstances is the number of instances for each data centre from which a site is
	// divided. Smaller sites have few servers, and their coordinator has little work. A
	// divided site stays divided down to minInstancesDivided.
	minInstances        = 8
	minInstancesDivided = 4
	// minServers is the number of servers of each pool for each data centre from which a
	// site is divided. With fewer servers, a piece waits for much of a call until one of
	// its cell is idle. A divided site stays divided down to minServersDivided, so that
	// the loss of half of a pool doesn't move all requests to other coordinators.
	minServers        = 3.25
	minServersDivided = 1.5
)

// Layout is the division of a site into cells. It is an immutable value. The zero value
// is a site of one cell.
type Layout struct {
	// dataCentres are those of the divided site, sorted; each is a cell.
	dataCentres []string
}

// Divide returns the layout of a site with a number of instances and the listed servers
// of each pool by data centre. Pools whose servers are shared by all instances, such as
// plain services, are left out. The parameter current is the layout so far.
func Divide(current Layout, instances int, pools map[string]map[string]int) Layout {
	needInstances, needServers := minInstances, minServers
	if current.IsDivided() {
		needInstances, needServers = minInstancesDivided, minServersDivided
	}
	named := map[string]bool{}
	for _, byDataCentre := range pools {
		for dc := range byDataCentre {
			named[dc] = true
		}
	}
	if len(named) < 2 || instances < needInstances*len(named) {
		return Layout{}
	}
	for _, byDataCentre := range pools {
		total := 0
		for _, n := range byDataCentre {
			total += n
		}
		if float64(total) < needServers*float64(len(named)) {
			return Layout{}
		}
	}
	return Layout{dataCentres: slices.Sorted(maps.Keys(named))}
}

// IsDivided reports whether the site has more than one cell.
func (l Layout) IsDivided() bool { return len(l.dataCentres) > 0 }

// Of returns the name of the cell of a data centre.
func (l Layout) Of(dataCentre string) string {
	if !l.IsDivided() {
		return Whole
	}
	return dataCentre
}

// Contains reports whether a data centre belongs to a cell.
func (l Layout) Contains(cell, dataCentre string) bool { return l.Of(dataCentre) == cell }

// Cells returns the names of all cells, sorted.
func (l Layout) Cells() []string {
	if !l.IsDivided() {
		return []string{Whole}
	}
	return slices.Clone(l.dataCentres)
}

// Equal reports whether two layouts are the same.
func (l Layout) Equal(other Layout) bool { return slices.Equal(l.dataCentres, other.dataCentres) }
