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
	// decisionInterval is how often decision records are written to the log. A killed
	// process loses the records of at most one interval.
	decisionInterval = 2 * time.Second
	// anchorRounds is the number of these intervals between two writes of the anchor,
	// which holds the end of the chain of records, to the store. Calls to the store are
	// billed, so each instance writes its anchor only every 16 seconds.
	anchorRounds = 8
	// anchorTimeout bounds a write of the anchor, finalAnchorTimeout the write at
	// shutdown.
	anchorTimeout      = time.Second
	finalAnchorTimeout = 250 * time.Millisecond
	// maxBufferedRecords bounds the records that wait for the next interval,
	// maxBatchRecords the records in one log line. Log readers truncate lines that are
	// longer than 8 KB.
	maxBufferedRecords = 10_000
	maxBatchRecords    = 100
)

// decisions records in a signed chain which request was served when, and why. The
// records go to the log. The anchor, which holds the end of the chain, goes to the
// store.
type decisions struct {
	commands precedence.Commands
	key      ed25519.PrivateKey
	// seal encodes and compresses a signed batch for the log.
	seal   func(precedence.Batch) ([]byte, error)
	logger *event.Logger
	// putAnchor writes the anchor of this incarnation to the store. An epoch is higher than
	// those of earlier writes.
	putAnchor func(ctx context.Context, key string, value []byte, epoch uint64) error

	// storeEra returns the era of the store.
	storeEra func() uint64

	anchor     precedence.Anchor
	isAnchored bool
	// anchoredEra is the era of the store at the last write of the anchor. A later era may
	// lack it.
	anchoredEra uint64
	// epoch is that of the last write of the anchor.
	epoch uint64
}

// newDecisions returns a chain with a new signing key. Machines keep no state, so the
// public key is published with the anchor in the store.
func newDecisions(instance *Instance, started time.Time) *decisions {
	key, err := precedence.GenerateKey()
	if err != nil {
		// The random source of the system doesn't return errors.
		panic("entry: generate the signing key of decision records: " + err.Error())
	}
	sealer := precedence.Sealer{Encode: codec.Marshal, Decode: codec.Unmarshal}
	incarnation := strconv.FormatInt(started.UnixMilli(), 10)
	return &decisions{
		commands: precedence.NewTable(instance.Settings.Name, incarnation, maxBufferedRecords).Commands(),
		key:      key, seal: sealer.Seal, logger: instance.Logger,
		putAnchor: func(ctx context.Context, key string, value []byte, epoch uint64) error {
			return instance.store.PutFenced(ctx, platform.DecisionStream, key, value, epoch)
		},
		storeEra:   instance.storeEra,
		isAnchored: true,
	}
}

// run writes the buffered records at each interval. When the context ends, it writes
// the remaining records and the final anchor.
func (d *decisions) run(ctx context.Context) error {
	for round := 1; pause(ctx, decisionInterval); round++ {
		d.writeRecords()
		if round%anchorRounds == 0 {
			d.writeAnchor(ctx, anchorTimeout)
		}
	}
	d.writeRecords()
	d.writeAnchor(context.WithoutCancel(ctx), finalAnchorTimeout)
	return nil
}

// writeRecords writes all buffered records to the log.
func (d *decisions) writeRecords() {
	for {
		batch, ok := d.commands.TakeBatch(maxBatchRecords)
		if !ok {
			return
		}
		batch = batch.WithSignature(d.key)
		data, err := d.seal(batch)
		if err != nil {
			d.commands.RequeueBatch(batch)
			d.logger.Write(event.DecisionRecordsNotSealed, batch.FirstSequence, err)
			return
		}
		anchor := batch.Anchor()
		d.logger.Write(event.DecisionRecords, len(batch.Records), batch.FirstSequence, anchor.LastSequence, base64.StdEncoding.EncodeToString(data))
		d.commands.ConfirmBatch()
		d.anchor, d.isAnchored = anchor, false
	}
}

// writeAnchor writes the anchor to the store if the end of the chain has moved, or the store
// may have lost the anchor. A failed write is repeated in a later interval.
func (d *decisions) writeAnchor(ctx context.Context, limit time.Duration) {
	era := d.storeEra()
	if d.isAnchored && (era == d.anchoredEra || d.anchor.LastSequence == 0) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	value, err := codec.Marshal(d.anchor)
	if err == nil {
		d.epoch++
		err = d.putAnchor(ctx, d.anchor.Instance+"@"+d.anchor.Incarnation, value, d.epoch)
	}
	if err != nil {
		d.logger.Write(event.LogUnavailable, platform.DecisionStream, err)
		return
	}
	d.isAnchored, d.anchoredEra = true, era
}

// recordAdmission records that a request was admitted in a class.
func (i *Instance) recordAdmission(admission delivery.Admission) {
	i.decisions.commands.Add(precedence.Record{
		Kind: precedence.Admission, RequestID: admission.RequestID, Workspace: admission.Workspace, Target: admission.Route, Class: className(admission.Rank),
		Rank: admission.Rank, Pool: admission.Pool, Arrival: admission.ArrivedAt, Deadline: admission.Deadline, Revision: uint64(admission.ConfigurationVersion),
	})
}

// recordPlacement records that this instance, as coordinator, placed or rejected a
// request. The field Attempt of the record holds the number of the try.
func (i *Instance) recordPlacement(decision preparation.Decision) {
	record := precedence.Record{
		Kind: precedence.Dispatch, RequestID: decision.RequestID, Class: className(decision.Rank), Rank: decision.Rank, Pool: decision.Pool, Server: decision.Server,
		Attempt: uint32(decision.Try), Arrival: decision.OpenedAt, Deadline: decision.Deadline, Waiting: decision.Waiting,
		Revision: uint64(i.routes.Queries().Current().Version),
	}
	if decision.Reason != "" {
		record.Kind, record.Reason = precedence.Refusal, string(decision.Reason)
	}
	i.decisions.commands.Add(record)
}

// recordEnd records how an attempt of a client ended. The field Attempt of the record
// holds the number of tries.
func (i *Instance) recordEnd(attempt delivery.Attempt, result delivery.Result) {
	record := precedence.Record{
		Kind: precedence.Finish, RequestID: attempt.ID, Target: result.Route, Pool: result.Pool, Server: result.Server, Attempt: uint32(result.Tries),
		Arrival: attempt.ArrivedAt, Revision: uint64(i.routes.Queries().Current().Version), Outcome: "ran",
	}
	if result.Failure != nil {
		record.Outcome, record.Reason = result.Failure.Outcome().String(), string(result.Failure.Reason)
	}
	i.decisions.commands.Add(record)
}

// className returns a name with the rank of a class: configurations of the platform
// don't name the classes.
func className(rank int) string { return "rank" + strconv.Itoa(rank) }
