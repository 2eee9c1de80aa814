package precedence_test

import (
	"testing"

	"github.com/matryer/is"

	"lycheecrank.example/precedence"
)

// Guards against truncated or replaced logs that go unnoticed: a chain alone can't show
// that its newest records, or all of them, are missing.
func TestAnchors(t *testing.T) {
	is := is.New(t)
	key, err := precedence.GenerateKey()
	is.NoErr(err)
	otherKey, err := precedence.GenerateKey()
	is.NoErr(err)
	table := precedence.NewTable("n1", "100", 100)
	nextBatch := func(requests ...string) precedence.Batch {
		for _, r := range requests {
			table.Commands().Add(precedence.Record{Kind: precedence.Dispatch, RequestID: r})
		}
		batch, ok := table.Commands().TakeBatch(100)
		is.True(ok)
		table.Commands().ConfirmBatch()
		return batch.WithSignature(key)
	}
	first, second, third := nextBatch("r1", "r2"), nextBatch("r3"), nextBatch("r4")
	anchor := second.Anchor()
	is.Equal(anchor.LastSequence, uint64(3))
	faultsOf := func(anchors []precedence.Anchor, batches ...precedence.Batch) []precedence.AnchorFault {
		var faults []precedence.AnchorFault
		for _, f := range precedence.CheckAnchors(batches, anchors) {
			is.True(f.String() != "")
			faults = append(faults, f.Fault)
		}
		return faults
	}
	anchors := []precedence.Anchor{anchor}
	is.Equal(len(faultsOf(anchors, first, second)), 0)
	is.Equal(len(faultsOf(anchors, first, second, third)), 0) // the records reach beyond the anchor
	is.Equal(faultsOf(anchors, first), []precedence.AnchorFault{precedence.AnchorUnreached})
	is.Equal(faultsOf(anchors), []precedence.AnchorFault{precedence.AnchorUnreached}) // all records are missing
	is.Equal(faultsOf(nil, first), []precedence.AnchorFault{precedence.AnchorMissing})
	is.Equal(faultsOf(anchors, first, second.WithSignature(otherKey)), []precedence.AnchorFault{precedence.AnchorDiffers})
	changed := second
	changed.Head[0]++
	is.Equal(faultsOf(anchors, first, changed), []precedence.AnchorFault{precedence.AnchorDiffers})
}
