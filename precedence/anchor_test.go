package precedence_test

import (
	"testing"

	"github.com/matryer/is"

	"lycheecrank.example/precedence"
)

// Guards against logs that were cut off or replaced without a trace: a chain alone
// can't show that its newest records, or all of them, are gone.
func TestAnchors(t *testing.T) {
	is := is.New(t)
	key, err := precedence.GenerateKey()
	is.NoErr(err)
	other, err := precedence.GenerateKey()
	is.NoErr(err)
	table := precedence.NewTable("n1", "100", 100)
	batch := func(requests ...string) precedence.Batch {
		for _, r := range requests {
			table.Commands().Add(precedence.Record{Kind: precedence.Dispatch, RequestID: r})
		}
		b, ok := table.Commands().TakeBatch(100)
		is.True(ok)
		table.Commands().Appended()
		return b.WithSignature(key)
	}
	first, second, third := batch("r1", "r2"), batch("r3"), batch("r4")
	anchor := second.Anchor()
	is.Equal(anchor.Last, uint64(3))
	check := func(anchors []precedence.Anchor, batches ...precedence.Batch) []precedence.AnchorFault {
		var faults []precedence.AnchorFault
		for _, f := range precedence.CheckAnchors(batches, anchors) {
			is.True(f.String() != "")
			faults = append(faults, f.Fault)
		}
		return faults
	}
	anchors := []precedence.Anchor{anchor}
	is.Equal(len(check(anchors, first, second)), 0)
	is.Equal(len(check(anchors, first, second, third)), 0) // newer than the anchor
	is.Equal(check(anchors, first), []precedence.AnchorFault{precedence.AnchorUnreached})
	is.Equal(check(anchors), []precedence.AnchorFault{precedence.AnchorUnreached}) // the whole chain is gone
	is.Equal(check(nil, first), []precedence.AnchorFault{precedence.AnchorMissing})
	is.Equal(check(anchors, first, second.WithSignature(other)), []precedence.AnchorFault{precedence.AnchorDiffers})
	changed := second
	changed.Head[0]++
	is.Equal(check(anchors, first, changed), []precedence.AnchorFault{precedence.AnchorDiffers})
}
