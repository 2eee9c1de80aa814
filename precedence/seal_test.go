package precedence_test

import (
	"errors"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lycheecrank.example/precedence"
)

// Guards against a field that sealing omits or rounds: every batch read back from the
// log would count as changed.
func TestSealKeepsBatches(t *testing.T) {
	is := is.New(t)
	for _, b := range append(gapChain(t), chain(t, precedence.Origin{Instance: "a", Incarnation: "b"}, 9, precedence.Record{DecidedAt: start})...) {
		data, err := sealer.Seal(b)
		is.NoErr(err)
		opened, err := sealer.Open(data)
		is.NoErr(err)
		is.Equal(opened, b)
	}
}

// Guards against altered bytes in the log that crash the reader or are accepted as an
// intact batch with other content.
func TestOpenOfChangedBytes(t *testing.T) {
	original := gapChain(t)[0]
	data, err := sealer.Seal(original)
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		changed := slices.Clone(data)
		index := rapid.IntRange(0, len(data)-1).Draw(t, "position")
		changed[index] ^= byte(rapid.IntRange(1, 255).Draw(t, "mask"))
		changed = changed[:rapid.IntRange(0, len(data)).Draw(t, "length")]
		b, err := sealer.Open(changed)
		if err != nil {
			if !errors.Is(err, precedence.ErrUnreadable) {
				t.Fatal(err)
			}
			return
		}
		isEqual := slices.Equal(b.Records, original.Records) && b.Instance == original.Instance && b.Head == original.Head
		if precedence.Verify([]precedence.Batch{b}).Intact() && !isEqual {
			t.Fatalf("byte %d: altered batch counts as intact", index)
		}
	})
}
