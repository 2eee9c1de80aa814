// Package catalogue holds the configuration that operators edit: entries with an
// owner, a class and limits. Edits are records in the platform's log. Every
// reader applies them in offset order with the same pure function, so all
// instances reach the same catalogue and the same verdict on each edit.
package catalogue

import (
	"reflect"
	"slices"
	"time"

	"lycheecrank.example/request"
)

// Kind is the kind of an entry.
type Kind string

// The kinds of entries.
const (
	ClassKind      Kind = "class"
	WorkspaceKind  Kind = "workspace"
	DataCentreKind Kind = "dataCentre"
	PoolKind       Kind = "pool"
	ServerKind     Kind = "server"
	PipelineKind   Kind = "pipeline"
	ServiceKind    Kind = "service"
)

// Kinds returns all kinds, each after the kinds that its entries refer to.
func Kinds() []Kind {
	return []Kind{ClassKind, WorkspaceKind, DataCentreKind, PoolKind, ServerKind, PipelineKind, ServiceKind}
}

// State is the state of a data centre or server.
type State string

// The states. A data centre or server that is taken out gets no new work.
const (
	InService State = "inService"
	TakenOut  State = "takenOut"
)

// ID identifies an entry.
type ID struct {
	Kind Kind   `msgpack:"kind" json:"kind" yaml:"kind"`
	Name string `msgpack:"name" json:"name" yaml:"name"`
}

// String returns kind/name.
func (i ID) String() string { return string(i.Kind) + "/" + i.Name }

// Limits bound the resources that an entry may use. 0 means the default, which is
// no limit unless stated.
type Limits struct {
	// MaxInFlight is the largest number of concurrent requests (workspace,
	// pipeline, service) or steps (server). The default of a server is 1.
	MaxInFlight int `msgpack:"maxInFlight,omitempty" json:"maxInFlight,omitempty" yaml:"maxInFlight,omitempty"`
	// ColdInFlight is the largest number of concurrent steps of a server in cold
	// start; the default is 1.
	ColdInFlight int `msgpack:"coldInFlight,omitempty" json:"coldInFlight,omitempty" yaml:"coldInFlight,omitempty"`
	// MaxQueued is the largest number of steps that wait for a pool on one
	// instance; the default is 10,000.
	MaxQueued int `msgpack:"maxQueued,omitempty" json:"maxQueued,omitempty" yaml:"maxQueued,omitempty"`
	// MaxBodyBytes is the largest input of a request in bytes; the default is 1
	// MiB.
	MaxBodyBytes int `msgpack:"maxBodyBytes,omitempty" json:"maxBodyBytes,omitempty" yaml:"maxBodyBytes,omitempty"`
	// MaxDeadline is the longest time until its deadline that a request may ask
	// for; the default is one minute.
	MaxDeadline time.Duration `msgpack:"maxDeadline,omitempty" json:"maxDeadline,omitempty" yaml:"maxDeadline,omitempty"`
}

// Stage is one stage of a pipeline.
type Stage struct {
	Name string       `msgpack:"name" json:"name" yaml:"name"`
	Kind request.Kind `msgpack:"kind" json:"kind" yaml:"kind"`
	Pool string       `msgpack:"pool" json:"pool" yaml:"pool"`
	// Share is the stage's share of the remaining time, relative to the shares of
	// the remaining stages; the default is 1.
	Share int `msgpack:"share,omitempty" json:"share,omitempty" yaml:"share,omitempty"`
}

// Entry is one entry of the catalogue. Fields that the kind doesn't use stay
// empty.
type Entry struct {
	Kind  Kind   `msgpack:"kind" json:"kind" yaml:"kind"`
	Name  string `msgpack:"name" json:"name" yaml:"name"`
	Owner string `msgpack:"owner" json:"owner" yaml:"owner"`
	// Class is the highest class (the smallest rank) that requests of a workspace,
	// pipeline or service can have, and the lowest class (the largest rank) that a
	// pool, server or data centre serves. For a class it is its own name.
	Class  string `msgpack:"class" json:"class" yaml:"class"`
	Limits Limits `msgpack:"limits" json:"limits" yaml:"limits,omitempty"`

	// Rank of a class; 0 is served first.
	Rank int `msgpack:"rank,omitempty" json:"rank,omitempty" yaml:"rank,omitempty"`
	// Weight is a workspace's share inside its class; the default is 1.
	Weight int `msgpack:"weight,omitempty" json:"weight,omitempty" yaml:"weight,omitempty"`
	// Region of a data centre.
	Region string `msgpack:"region,omitempty" json:"region,omitempty" yaml:"region,omitempty"`
	// State of a data centre or server; the default is inService.
	State State `msgpack:"state,omitempty" json:"state,omitempty" yaml:"state,omitempty"`
	// StageKind and Model of a pool.
	StageKind request.Kind `msgpack:"stageKind,omitempty" json:"stageKind,omitempty" yaml:"stageKind,omitempty"`
	Model     string       `msgpack:"model,omitempty" json:"model,omitempty" yaml:"model,omitempty"`
	// Pool of a server or service; DataCentre and Address (IP:port) of a server.
	Pool       string `msgpack:"pool,omitempty" json:"pool,omitempty" yaml:"pool,omitempty"`
	DataCentre string `msgpack:"dataCentre,omitempty" json:"dataCentre,omitempty" yaml:"dataCentre,omitempty"`
	Address    string `msgpack:"address,omitempty" json:"address,omitempty" yaml:"address,omitempty"`
	// Stages of a pipeline, three to six.
	Stages []Stage `msgpack:"stages,omitempty" json:"stages,omitempty" yaml:"stages,omitempty"`
	// Repeatable and Operation of a service.
	Repeatable bool   `msgpack:"repeatable,omitempty" json:"repeatable,omitempty" yaml:"repeatable,omitempty"`
	Operation  string `msgpack:"operation,omitempty" json:"operation,omitempty" yaml:"operation,omitempty"`

	// Revision is the offset of the record that last changed the entry, set by Apply.
	// In a file it is the revision on which the change is based; 0 means the current
	// one. In an edit it is ignored, because Change.BaseRevision holds it.
	Revision uint64 `msgpack:"revision,omitempty" json:"revision,omitempty" yaml:"revision,omitempty"`
}

// ID returns the entry's kind and name.
func (e Entry) ID() ID { return ID{e.Kind, e.Name} }

// WithRevision returns the entry with another revision.
func (e Entry) WithRevision(revision uint64) Entry {
	e.Revision = revision
	return e
}

// WithState returns the data centre or server with another state.
func (e Entry) WithState(s State) Entry {
	e.State = s
	return e
}

// SameContent reports whether two entries are equal apart from their revision.
func (e Entry) SameContent(other Entry) bool {
	return reflect.DeepEqual(e.normalized(), other.normalized())
}

// normalized returns the entry without its revision and with equivalent values
// made equal, such as an empty state and inService.
func (e Entry) normalized() Entry {
	e.Revision = 0
	if e.State == "" && (e.Kind == DataCentreKind || e.Kind == ServerKind) {
		e.State = InService
	}
	if len(e.Stages) == 0 {
		e.Stages = nil
	}
	e.Stages = slices.Clone(e.Stages)
	return e
}

// Defaults of limits that are 0 or not set.
const (
	defaultServerInFlight = 1
	defaultMaxQueued      = 10_000
	defaultMaxBodyBytes   = 1 << 20
	defaultMaxDeadline    = time.Minute
)

// WithDefaults returns the limits of an entry of kind k with zeros replaced by the
// defaults of that kind.
func (l Limits) WithDefaults(k Kind) Limits {
	if k == ServerKind {
		l.MaxInFlight = positiveOr(l.MaxInFlight, defaultServerInFlight)
		l.ColdInFlight = positiveOr(l.ColdInFlight, defaultServerInFlight)
	}
	l.MaxQueued = positiveOr(l.MaxQueued, defaultMaxQueued)
	l.MaxBodyBytes = positiveOr(l.MaxBodyBytes, defaultMaxBodyBytes)
	if l.MaxDeadline <= 0 {
		l.MaxDeadline = defaultMaxDeadline
	}
	return l
}

func positiveOr(n, fallback int) int {
	if n > 0 {
		return n
	}
	return fallback
}
