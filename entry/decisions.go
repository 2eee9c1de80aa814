package entry

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"strconv"
	"time"

	"lycheecrank.example/codec"
	"lycheecrank.example/delivery"
	"lycheecrank.example/event"
	"lycheecrank.example/platform"
	"lycheecrank.example/precedence"
	"lycheecrank.example/preparation"
)

const (
	// decisionInterval is how often records of decisions are written to the log, and
	// how much of them a killed process takes along.
	decisionInterval = 2 * time.Second
	// anchorEvery is the number of such intervals after which the end of the chain is
	// written to the store. Calls to the store are priced: each instance makes one in
	// sixteen seconds.
	anchorEvery = 8
	// anchorLimit bounds the write of an anchor, lastAnchorLimit that at the end.
	anchorLimit     = time.Second
	lastAnchorLimit = 250 * time.Millisecond
	// decisionBuffer is the number of records that wait for the next interval, maxBatch
	// that of one line of the log: readers of logs cut lines that are longer than 8 KB.
	decisionBuffer = 10_000
	maxBatch       = 100
)

// decisions records who was served when and why, in a signed chain. The records go to
// the log, the end of the chain to the store.
type decisions struct {
	commands precedence.Commands
	key      ed25519.PrivateKey
	seal     func(precedence.Batch) ([]byte, error)
	logger   *event.Logger
	// put writes the anchor of this incarnation.
	put func(ctx context.Context, key string, value []byte) error

	anchor     precedence.Anchor
	isAnchored bool
}

// newDecisions returns a chain with a key of its own: machines keep nothing, so that
// the anchor in the store is where the key is published.
func newDecisions(i *Instance, started time.Time) *decisions {
	key, err := precedence.GenerateKey()
	if err != nil {
		// The system's random source doesn't fail.
		panic("entry: " + err.Error())
	}
	sealer := precedence.Sealer{Encode: codec.Marshal, Decode: codec.Unmarshal}
	incarnation := strconv.FormatInt(started.UnixMilli(), 10)
	return &decisions{
		commands: precedence.NewTable(i.Settings.Name, incarnation, decisionBuffer).Commands(),
		key:      key, seal: sealer.Seal, logger: i.Logger,
		put: func(ctx context.Context, key string, value []byte) error {
			return i.store.Put(ctx, platform.Decisions, key, value)
		},
		isAnchored: true,
	}
}

// run writes what was recorded until the context ends, and the rest then.
func (d *decisions) run(ctx context.Context) error {
	for round := 1; pause(ctx, decisionInterval); round++ {
		d.write()
		if round%anchorEvery == 0 {
			d.writeAnchor(ctx, anchorLimit)
		}
	}
	d.write()
	d.writeAnchor(context.WithoutCancel(ctx), lastAnchorLimit)
	return nil
}

// write writes the records to the log.
func (d *decisions) write() {
	for {
		b, ok := d.commands.TakeBatch(maxBatch)
		if !ok {
			return
		}
		b = b.WithSignature(d.key)
		data, err := d.seal(b)
		if err != nil {
			d.commands.RequeueBatch(b)
			d.logger.Write(event.DecisionRecordsNotSealed, b.FirstSequence, err)
			return
		}
		a := b.Anchor()
		d.logger.Write(event.DecisionRecords, len(b.Records), b.FirstSequence, a.LastSequence, base64.StdEncoding.EncodeToString(data))
		d.commands.ConfirmBatch()
		d.anchor, d.isAnchored = a, false
	}
}

// writeAnchor writes the end of the chain to the store if it has moved. After a
// failure the next interval tries again.
func (d *decisions) writeAnchor(ctx context.Context, limit time.Duration) {
	if d.isAnchored {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	value, err := codec.Marshal(d.anchor)
	if err == nil {
		err = d.put(ctx, d.anchor.Instance+"@"+d.anchor.Incarnation, value)
	}
	if err != nil {
		d.logger.Write(event.LogUnavailable, platform.Decisions, err)
		return
	}
	d.isAnchored = true
}

// recordAdmission records that a request was accepted for a class.
func (i *Instance) recordAdmission(a delivery.Admission) {
	i.decisions.commands.Add(precedence.Record{
		Kind: precedence.Admission, RequestID: a.RequestID, Workspace: a.Workspace, Target: a.Route, Class: className(a.Rank),
		Rank: a.Rank, Pool: a.Pool, Arrival: a.ArrivedAt, Deadline: a.Deadline, Revision: uint64(a.ConfigurationVersion),
	})
}

// recordPlacement records a decision of the coordinator.
func (i *Instance) recordPlacement(p preparation.Decision) {
	r := precedence.Record{
		Kind: precedence.Dispatch, RequestID: p.RequestID, Class: className(p.Rank), Rank: p.Rank, Pool: p.Pool, Server: p.Server,
		Attempt: uint32(p.Try), Arrival: p.OpenedAt, Deadline: p.Deadline, Waiting: p.Waiting,
		Revision: uint64(i.routes.Queries().Current().Version),
	}
	if p.Reason != "" {
		r.Kind, r.Reason = precedence.Refusal, string(p.Reason)
	}
	i.decisions.commands.Add(r)
}

// recordEnd records how an attempt of a client ended.
func (i *Instance) recordEnd(a delivery.Attempt, v delivery.Result) {
	r := precedence.Record{
		Kind: precedence.Finish, RequestID: a.ID, Target: v.Route, Pool: v.Pool, Server: v.Server, Attempt: uint32(v.Tries),
		Arrival: a.ArrivedAt, Revision: uint64(i.routes.Queries().Current().Version), Outcome: "ran",
	}
	if v.Failure != nil {
		r.Outcome, r.Reason = v.Failure.Outcome().String(), string(v.Failure.Reason)
	}
	i.decisions.commands.Add(r)
}

// className names a class by its rank: configurations of the platform have no names
// for them.
func className(rank int) string { return "rank" + strconv.Itoa(rank) }
