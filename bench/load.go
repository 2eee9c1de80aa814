// Package bench is an open-loop load generator with the measurements made with
// it. Arrivals come from a seeded process and are sent at their time whatever
// the answers do; latency counts from the intended time.
package bench

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"lycheecrank.example/request"
)

// ErrFile is returned for a load or cell file with faults.
var ErrFile = errors.New("file has faults")

// Faults are all faults of a file. They match ErrFile.
type Faults struct {
	Name  string
	Found []string
}

// Error lists all faults, one a line.
func (f Faults) Error() string {
	return f.Name + ": " + strings.Join(f.Found, "\n"+f.Name+": ")
}

// Is reports whether target is ErrFile.
func (f Faults) Is(target error) bool { return target == ErrFile }

// Process names a process of arrivals.
type Process string

// The processes of arrivals.
const (
	// Steady is a Poisson process of constant rate.
	Steady Process = "steady"
	// Bursts is a Poisson process with short times of a higher rate.
	Bursts Process = "bursts"
	// Spring is a Poisson process whose rate rises slowly and falls again.
	Spring Process = "spring"
)

// Bounds of a load, so that a file can't flood a shared machine.
const (
	maxPerSecond = 5000
	maxDuration  = 10 * time.Minute
	maxRequests  = 500_000
)

// Arrivals says when requests arrive. The mean rate is the same for all
// processes.
type Arrivals struct {
	Process   Process `yaml:"process"`
	PerSecond float64 `yaml:"perSecond"`
	// BurstEvery, BurstLasting and BurstTimes shape bursts: the rate is that many
	// times the rate between them.
	BurstEvery   time.Duration `yaml:"burstEvery"`
	BurstLasting time.Duration `yaml:"burstLasting"`
	BurstTimes   float64       `yaml:"burstTimes"`
}

// Workspace is a customer of the load with its share of the requests.
type Workspace struct {
	Name  string  `yaml:"name"`
	Share float64 `yaml:"share"`
}

// Part is a part of the mix of requests.
type Part struct {
	// Class is the class that the results are counted under. Asked is the class
	// that the request names; empty leaves it to the catalogue.
	Class  string  `yaml:"class"`
	Asked  string  `yaml:"asked"`
	Share  float64 `yaml:"share"`
	Target string  `yaml:"target"`
	// Stages are the kinds of the stages of a pipeline, Operation is that of a
	// plain service. One of them tells which answer belongs to a request.
	Stages    []request.Kind `yaml:"stages"`
	Operation string         `yaml:"operation"`
	// Keyed requests may not be repeated and get a UUIDv7.
	Keyed         bool          `yaml:"keyed"`
	StreamedShare float64       `yaml:"streamedShare"`
	Timeout       time.Duration `yaml:"timeout"`
	// InputWords is the length of the input of a pipeline; 0 means 24.
	InputWords int         `yaml:"inputWords"`
	Workspaces []Workspace `yaml:"workspaces"`
}

// Load describes a load. It is an immutable value.
type Load struct {
	Name     string        `yaml:"name"`
	Seed     uint64        `yaml:"seed"`
	Duration time.Duration `yaml:"duration"`
	// MaxRequests bounds the requests; 0 means 100,000.
	MaxRequests int      `yaml:"maxRequests"`
	Arrivals    Arrivals `yaml:"arrivals"`
	Mix         []Part   `yaml:"mix"`
}

// WithRate returns the load with another mean rate.
func (l Load) WithRate(perSecond float64) Load {
	l.Arrivals.PerSecond = perSecond
	return l
}

// WithDuration returns the load with another duration.
func (l Load) WithDuration(d time.Duration) Load {
	l.Duration = d
	return l
}

// WithSeed returns the load with another seed.
func (l Load) WithSeed(seed uint64) Load {
	l.Seed = seed
	return l
}

// LongestTimeout returns the longest time that a request may take.
func (l Load) LongestTimeout() time.Duration {
	var longest time.Duration
	for _, p := range l.Mix {
		longest = max(longest, p.Timeout)
	}
	return longest
}

// ReadLoad reads a load file. The name stands in messages. Every broken rule of
// a well-formed file is reported at once, as Faults.
func ReadLoad(data []byte, name string) (Load, error) {
	var l Load
	if err := yaml.UnmarshalWithOptions(data, &l, yaml.Strict()); err != nil {
		return Load{}, Faults{name, []string{yaml.FormatError(err, false, false)}}
	}
	if l.MaxRequests == 0 {
		l.MaxRequests = 100_000
	}
	if f := l.Check(); len(f) > 0 {
		return Load{}, Faults{name, f}
	}
	return l, nil
}

// checker collects the broken rules of a file.
type checker struct {
	found []string
}

func (c *checker) rule(holds bool, format string, args ...any) {
	if !holds {
		c.found = append(c.found, fmt.Sprintf(format, args...))
	}
}

// Check returns every rule that the load breaks.
func (l Load) Check() []string {
	var c checker
	c.rule(l.Duration > 0 && l.Duration <= maxDuration, "duration: must be above 0 and at most %s", maxDuration)
	c.rule(l.MaxRequests > 0 && l.MaxRequests <= maxRequests, "maxRequests: must be 1 to %d", maxRequests)
	l.Arrivals.check(&c)
	c.rule(len(l.Mix) > 0, "mix: must not be empty")
	for n, p := range l.Mix {
		p.check(&c, fmt.Sprintf("mix[%d]", n))
	}
	return c.found
}

func (a Arrivals) check(c *checker) {
	c.rule(a.PerSecond > 0 && a.PerSecond <= maxPerSecond, "arrivals.perSecond: must be above 0 and at most %d", maxPerSecond)
	switch a.Process {
	case Steady, Spring:
	case Bursts:
		c.rule(a.BurstEvery > 0, "arrivals.burstEvery: must be above 0")
		c.rule(a.BurstLasting > 0 && a.BurstLasting < a.BurstEvery, "arrivals.burstLasting: must be above 0 and below burstEvery")
		c.rule(a.BurstTimes > 1, "arrivals.burstTimes: must be above 1")
	default:
		c.rule(false, "arrivals.process: must be %s, %s or %s", Steady, Bursts, Spring)
	}
}

func (p Part) check(c *checker, field string) {
	c.rule(p.Class != "", "%s.class: must not be empty", field)
	c.rule(p.Target != "", "%s.target: must not be empty", field)
	c.rule(p.Share > 0, "%s.share: must be above 0", field)
	c.rule(p.StreamedShare >= 0 && p.StreamedShare <= 1, "%s.streamedShare: must be 0 to 1", field)
	c.rule(p.Timeout > 0 && p.Timeout <= time.Minute, "%s.timeout: must be above 0 and at most 1m", field)
	c.rule((len(p.Stages) > 0) != (p.Operation != ""), "%s: must have either stages or operation", field)
	c.rule(p.InputWords >= 0 && p.InputWords <= 10_000, "%s.inputWords: must be 0 to 10000", field)
	c.rule(len(p.Workspaces) > 0, "%s.workspaces: must not be empty", field)
	for n, w := range p.Workspaces {
		c.rule(w.Name != "" && w.Share > 0, "%s.workspaces[%d]: must have a name and a share above 0", field, n)
	}
}
