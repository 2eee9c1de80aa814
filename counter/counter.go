// Package counter publishes counters and latency histograms through expvar, under
// /debug/vars.
package counter

import (
	"expvar"
	"sync"
)

// Set is a group of counters with one name, such as all refusals, counted by reason.
// Concurrent calls are safe.
type Set struct {
	values expvar.Map
}

// published holds the latest read function by name. expvar panics if a name is
// published twice, which tests do that build several instances in one process.
var published sync.Map

// Publish publishes the result of read under a name. It replaces the function that
// was published under the same name before.
func Publish(name string, read func() any) {
	if _, loaded := published.Swap(name, read); !loaded {
		expvar.Publish(name, expvar.Func(func() any { return current(name) }))
	}
}

func current(name string) any {
	read, ok := published.Load(name)
	if !ok {
		return nil
	}
	return read.(func() any)()
}

// NewSet returns a set of counters and publishes it under name.
func NewSet(name string) *Set {
	s := &Set{}
	Publish(name, func() any { return s.Values() })
	return s
}

// Add adds 1 to the counter of a reason.
func (s *Set) Add(reason string) {
	s.values.Add(reason, 1)
}

// AddN adds n to the counter of a reason.
func (s *Set) AddN(reason string, n int64) {
	s.values.Add(reason, n)
}

// Values returns a copy of all counters.
func (s *Set) Values() map[string]int64 {
	values := map[string]int64{}
	s.values.Do(func(kv expvar.KeyValue) {
		if n, ok := kv.Value.(*expvar.Int); ok {
			values[kv.Key] = n.Value()
		}
	})
	return values
}
