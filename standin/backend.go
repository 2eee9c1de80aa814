package standin

import (
	"context"
	"crypto/sha256"
	"net/http"
	"time"

	"github.com/google/uuid"

	"lycheecrank.example/provider"
	"lycheecrank.example/standin/work"
)

// BackendOptions sets up a backend server. The zero value is useful.
type BackendOptions struct {
	Name       string
	DataCentre string
	// Pool is the pool that the server belongs to in the catalogue; it appears in
	// refusals.
	Pool   string
	Limits work.Limits
	// ServiceTime is how long a unary request takes.
	ServiceTime time.Duration
	// LoadLag is by how much load reports are always late.
	LoadLag time.Duration
	// Platform is the base URL of the platform to announce the server to; empty
	// for none.
	Platform string
	// Client calls the platform; nil means http.DefaultClient.
	Client *http.Client
}

// backend is what all backend servers have in common.
type backend struct {
	*obedience
	options     BackendOptions
	incarnation string
	table       *work.Table
	commands    *work.Commands
	state       *work.Queries
}

func newBackend(o BackendOptions) *backend {
	table := work.NewTable(o.Limits)
	return &backend{
		obedience:   newObedience(o.Name),
		options:     o,
		incarnation: uuid.NewString(),
		table:       table,
		commands:    work.NewCommands(table),
		state:       work.NewQueries(table),
	}
}

func (b *backend) announcer() func(ctx context.Context, address string, leaving bool) error {
	if b.options.Platform == "" {
		return nil
	}
	client := b.options.Client
	if client == nil {
		client = http.DefaultClient
	}
	instances := provider.NewInstances(client, b.options.Platform)
	return func(ctx context.Context, address string, leaving bool) error {
		return instances.Announce(ctx, provider.Instance{
			Name:        b.options.Name,
			Incarnation: b.incarnation,
			DataCentre:  b.options.DataCentre,
			Role:        provider.BackendRole,
			Address:     address,
			Leaving:     leaving,
		})
	}
}

// execute runs a unary request in a slot. The effect of do stands even if the
// request is broken off afterwards.
func (b *backend) execute(ctx context.Context, do func() []byte) ([]byte, error) {
	running, end, err := b.commands.Begin(ctx)
	if err != nil {
		return nil, b.refusal(err)
	}
	output := do()
	err = pause(running, b.options.ServiceTime)
	end(err == nil)
	return output, failure(err)
}

// load returns the load of some time ago.
func (b *backend) load(ctx context.Context) work.Load {
	return b.state.LoadAt(time.Now().Add(-b.options.LoadLag - faultOf(ctx).Lag))
}

// result is the answer to a unary request as the fault sends it.
type result struct {
	id     work.Identity
	output []byte
	length uint64
	sha256 []byte
}

// newResult returns a result with the length and the digest of the whole
// output. A result that is cut short or repeated keeps them.
func newResult(ctx context.Context, id work.Identity, output []byte) result {
	call := faultOf(ctx)
	sum := sha256.Sum256(output)
	r := result{id: sent(ctx, id), output: output, length: uint64(len(output)), sha256: sum[:]}
	if call.CutShort {
		r.output = output[:len(output)/2]
	}
	if call.Repeat {
		r.output = append(append([]byte{}, r.output...), r.output...)
	}
	return r
}

// sent returns the identity that an answer carries.
func sent(ctx context.Context, id work.Identity) work.Identity {
	if faultOf(ctx).Foreign {
		id.RequestID = "foreign-" + id.RequestID
	}
	return id
}
