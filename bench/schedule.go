package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"lycheecrank.example/request"
)

// Arrival is one request of a load at its intended time.
type Arrival struct {
	Number int
	// At counts from the start of the load.
	At        time.Duration
	Class     string
	Asked     string
	Workspace string
	Target    string
	Stages    []request.Kind
	Operation string
	Input     string
	Timeout   time.Duration
	Keyed     bool
	Streamed  bool
}

// ID returns the identifier of the request, which is unique in a load.
func (a Arrival) ID() string { return fmt.Sprintf("bench-%d", a.Number) }

// Schedule returns the arrivals of a load in the order of their times. The same
// load has the same schedule.
func Schedule(l Load) []Arrival {
	random := rand.New(rand.NewPCG(l.Seed, 0x6c79636865656372))
	peak := l.Arrivals.peak()
	var all []Arrival
	at := 0.0
	for len(all) < l.MaxRequests {
		// Thinning: candidates come at the peak rate, and each is kept with the
		// probability of the rate at its time over the peak rate.
		at += random.ExpFloat64() / peak
		if at >= l.Duration.Seconds() {
			break
		}
		if random.Float64()*peak > l.Arrivals.rate(at, l.Duration.Seconds()) {
			continue
		}
		all = append(all, l.arrival(len(all), time.Duration(at*float64(time.Second)), random))
	}
	return all
}

// peak returns the highest rate.
func (a Arrivals) peak() float64 {
	switch a.Process {
	case Bursts:
		return a.quiet() * a.BurstTimes
	case Spring:
		return 2 * a.PerSecond
	}
	return a.PerSecond
}

// quiet returns the rate between bursts that gives the mean rate.
func (a Arrivals) quiet() float64 {
	share := a.BurstLasting.Seconds() / a.BurstEvery.Seconds()
	return a.PerSecond / (1 + (a.BurstTimes-1)*share)
}

func (a Arrivals) rate(at, duration float64) float64 {
	switch a.Process {
	case Bursts:
		if math.Mod(at, a.BurstEvery.Seconds()) >= a.BurstEvery.Seconds()-a.BurstLasting.Seconds() {
			return a.quiet() * a.BurstTimes
		}
		return a.quiet()
	case Spring:
		s := math.Sin(math.Pi * at / duration)
		return 2 * a.PerSecond * s * s
	}
	return a.PerSecond
}

func (l Load) arrival(n int, at time.Duration, random *rand.Rand) Arrival {
	p := l.Mix[pick(random, l.Mix, func(p Part) float64 { return p.Share })]
	w := p.Workspaces[pick(random, p.Workspaces, func(w Workspace) float64 { return w.Share })]
	a := Arrival{
		Number: n, At: at, Class: p.Class, Asked: p.Asked, Workspace: w.Name, Target: p.Target,
		Stages: p.Stages, Operation: p.Operation, Timeout: p.Timeout, Keyed: p.Keyed,
		Streamed: random.Float64() < p.StreamedShare,
	}
	// The subject makes the answer to this request differ from all others.
	subject := fmt.Sprintf("subject%dx%d", l.Seed, n)
	if p.Operation != "" {
		return a.withInput(subject)
	}
	words := []string{subject}
	for len(words) < max(2, p.InputWords) || (p.InputWords == 0 && len(words) < 24) {
		words = append(words, vocabulary[random.IntN(len(vocabulary))])
	}
	return a.withInput(strings.Join(words, " "))
}

func (a Arrival) withInput(input string) Arrival {
	a.Input = input
	return a
}

// pick returns an index with a probability in proportion to its share.
func pick[T any](random *rand.Rand, all []T, share func(T) float64) int {
	var sum float64
	for _, x := range all {
		sum += share(x)
	}
	left := random.Float64() * sum
	for n, x := range all {
		left -= share(x)
		if left < 0 {
			return n
		}
	}
	return len(all) - 1
}

var vocabulary = strings.Fields(`helmet shell strap anchor buckle foam liner impact anvil kerbstone drop test
	batch importer retailer recall notice crack vent sample deceleration limit retention child cycle visor
	gate tally visitor festival museum winery harvest total venue reading`)
