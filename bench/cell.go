package bench

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/goccy/go-yaml"

	"lycheecrank.example/catalogue"
	"lycheecrank.example/request"
)

// Group is a group of stand-ins of one pool, spread over the data centres in
// turn.
type Group struct {
	Pool  string `yaml:"pool"`
	Count int    `yaml:"count"`
	// ServiceTimes and TokensPerSecond are the speeds, each for one server of
	// every data centre in turn. Engines have the latter; 0 means no limit.
	ServiceTimes    []time.Duration `yaml:"serviceTimes"`
	TokensPerSecond []float64       `yaml:"tokensPerSecond"`
	// PieceTokens is how many tokens a piece of an engine has; 0 means 8.
	PieceTokens  int `yaml:"pieceTokens"`
	MaxInFlight  int `yaml:"maxInFlight"`
	ColdInFlight int `yaml:"coldInFlight"`
	// ColdForRequests is how many requests must succeed until a server is warm.
	ColdForRequests int `yaml:"coldForRequests"`
}

// Cell describes stand-ins and instances. It is an immutable value.
type Cell struct {
	Name        string   `yaml:"name"`
	Region      string   `yaml:"region"`
	DataCentres []string `yaml:"dataCentres"`
	// Instances is the number of instances of each data centre.
	Instances int `yaml:"instances"`
	// Scarce names the pool whose capacity bounds the cell.
	Scarce string `yaml:"scarce"`
	// Owner and Class are those of the generated entries.
	Owner string `yaml:"owner"`
	Class string `yaml:"class"`
	// Entries are those of the catalogue but data centres and servers.
	Entries []catalogue.Entry `yaml:"entries"`
	Servers []Group           `yaml:"servers"`
}

// summaryTokens is the length of an engine's answer.
const summaryTokens = 32

// Bounds of a cell, so that a file can't flood a shared machine.
const (
	maxInstances = 100
	maxServers   = 200
)

// ServerSpec is one stand-in of a cell.
type ServerSpec struct {
	Name            string
	Pool            string
	Kind            request.Kind
	DataCentre      string
	ServiceTime     time.Duration
	TokensPerSecond float64
	Group           Group
}

// PerSecond returns how many steps a second the warm server bears; 0 means no
// limit.
func (s ServerSpec) PerSecond() float64 {
	switch {
	case s.Kind == request.Generate && s.TokensPerSecond > 0:
		return float64(s.Group.MaxInFlight) * s.TokensPerSecond / summaryTokens
	case s.ServiceTime > 0:
		return float64(s.Group.MaxInFlight) / s.ServiceTime.Seconds()
	}
	return 0
}

// Specs returns all stand-ins of the cell.
func (c Cell) Specs() []ServerSpec {
	var specs []ServerSpec
	for _, g := range c.Servers {
		pool, _ := c.entry(catalogue.PoolKind, g.Pool)
		for n := range g.Count {
			s := ServerSpec{
				Name: fmt.Sprintf("%s-%d", g.Pool, n+1), Pool: g.Pool, Kind: pool.StageKind,
				DataCentre: c.DataCentres[n%len(c.DataCentres)], Group: g,
			}
			turn := n / len(c.DataCentres)
			if len(g.ServiceTimes) > 0 {
				s.ServiceTime = g.ServiceTimes[turn%len(g.ServiceTimes)]
			}
			if len(g.TokensPerSecond) > 0 {
				s.TokensPerSecond = g.TokensPerSecond[turn%len(g.TokensPerSecond)]
			}
			specs = append(specs, s)
		}
	}
	return specs
}

// Capacity returns how many steps a second the scarce pool bears.
func (c Cell) Capacity() float64 {
	var sum float64
	for _, s := range c.Specs() {
		if s.Pool == c.Scarce {
			sum += s.PerSecond()
		}
	}
	return sum
}

func (c Cell) entry(k catalogue.Kind, name string) (catalogue.Entry, bool) {
	for _, e := range c.Entries {
		if e.Kind == k && e.Name == name {
			return e, true
		}
	}
	return catalogue.Entry{}, false
}

// Catalogue returns all entries of the cell's catalogue. The addresses of the
// servers are those given by name.
func (c Cell) Catalogue(address func(name string) string) []catalogue.Entry {
	entries := append([]catalogue.Entry{}, c.Entries...)
	for _, dc := range c.DataCentres {
		entries = append(entries, catalogue.Entry{
			Kind: catalogue.DataCentreKind, Name: dc, Owner: c.Owner, Class: c.Class, Region: c.Region, State: catalogue.InService,
		})
	}
	for _, s := range c.Specs() {
		entries = append(entries, catalogue.Entry{
			Kind: catalogue.ServerKind, Name: s.Name, Owner: c.Owner, Class: c.Class, Pool: s.Pool,
			DataCentre: s.DataCentre, Address: address(s.Name), State: catalogue.InService,
			Limits: catalogue.Limits{MaxInFlight: s.Group.MaxInFlight, ColdInFlight: s.Group.ColdInFlight},
		})
	}
	return entries
}

// ReadCell reads a cell file. The name stands in messages. Every broken rule of
// a well-formed file is reported at once, as Faults.
func ReadCell(data []byte, name string) (Cell, error) {
	var c Cell
	if err := yaml.UnmarshalWithOptions(data, &c, yaml.Strict()); err != nil {
		return Cell{}, Faults{name, []string{yaml.FormatError(err, false, false)}}
	}
	if f := c.Check(); len(f) > 0 {
		return Cell{}, Faults{name, f}
	}
	return c, nil
}

// Check returns every rule that the cell breaks, those of its catalogue among
// them.
func (c Cell) Check() []string {
	var k checker
	k.rule(len(c.DataCentres) > 0, "dataCentres: must not be empty")
	k.rule(c.Instances > 0 && c.Instances*len(c.DataCentres) <= maxInstances, "instances: must be above 0, and at most %d in all data centres", maxInstances)
	servers := 0
	for n, g := range c.Servers {
		servers += g.Count
		k.rule(g.Count > 0, "servers[%d].count: must be above 0", n)
		k.rule(g.MaxInFlight > 0 && g.ColdInFlight > 0, "servers[%d]: maxInFlight and coldInFlight must be above 0", n)
	}
	k.rule(servers > 0 && servers <= maxServers, "servers: must be 1 to %d in all", maxServers)
	if len(k.found) > 0 {
		return k.found
	}
	free := netip.AddrPortFrom(netip.IPv4Unspecified(), 1).String()
	for _, f := range catalogue.Check(c.Catalogue(func(string) string { return free })) {
		k.rule(false, "%s", f)
	}
	return k.found
}
