package precedence_test

import (
	"errors"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lycheecrank.example/precedence"
)

// Guards against a field that the sealed form leaves out or rounds, by which
// every batch read back from the log would count as changed.
func TestSealKeepsBatches(t *testing.T) {
	is := is.New(t)
	for _, b := range append(gapChain(t), chain(t, precedence.Origin{Instance: "a", Incarnation: "b"}, 9, precedence.Record{At: start})...) {
		data, err := sealer.Seal(b)
		is.NoErr(err)
		opened, err := sealer.Open(data)
		is.NoErr(err)
		is.Equal(opened, b)
	}
}

// Guards against bytes from the log that crash the reader or pass for an intact
// batch although they are not those that were written.
func TestOpenOfChangedBytes(t *testing.T) {
	whole := gapChain(t)[0]
	data, err := sealer.Seal(whole)
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		changed := slices.Clone(data)
		i := rapid.IntRange(0, len(data)-1).Draw(t, "position")
		changed[i] ^= byte(rapid.IntRange(1, 255).Draw(t, "mask"))
		changed = changed[:rapid.IntRange(0, len(data)).Draw(t, "length")]
		b, err := sealer.Open(changed)
		if err != nil {
			if !errors.Is(err, precedence.ErrUnreadable) {
				t.Fatal(err)
			}
			return
		}
		same := slices.Equal(b.Records, whole.Records) && b.Instance == whole.Instance && b.Head == whole.Head
		if precedence.Verify([]precedence.Batch{b}).Intact() && !same {
			t.Fatalf("byte %d: a changed batch counts as intact", i)
		}
	})
}
