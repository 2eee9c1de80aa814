package intake_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lycheecrank.example/intake"
)

// Guards against a choice that sheds requests which make progress, are served or wait for
// memory themselves, and against small ones that are shed before large ones.
func TestVictims(t *testing.T) {
	is := is.New(t)
	holders := []intake.Holder{
		{Phase: intake.Receiving, Held: 16 << 10, IsSlow: true},
		{Phase: intake.Receiving, Held: 1 << 20, IsSlow: true, Rate: 9},
		{Phase: intake.Receiving, Held: 4 << 20, Rate: 1e6},
		{Phase: intake.Serving, Held: 4 << 20, IsSlow: true},
		{Phase: intake.Sending, Held: 1 << 20, IsSlow: true, Rate: 1},
		{Phase: intake.Receiving, Held: 4 << 20, IsSlow: true, IsWaiting: true},
		{Phase: intake.Receiving, Held: 2 << 20, IsSlow: true},
		{Phase: intake.Receiving, IsSlow: true},
	}
	is.Equal(intake.Victims(holders, 0, true), []int{})
	is.Equal(intake.Victims(holders, 1, false), []int{6})
	is.Equal(intake.Victims(holders, 3<<20, false), []int{6, 4})
	is.Equal(intake.Victims(holders, 99<<20, false), []int{6, 4, 1})
	is.Equal(intake.Victims(holders, 99<<20, true), []int{6, 4, 1, 0})
}

// Guards against a choice that sheds more than is needed or the wrong ones, for any crowd.
func TestVictimsOfAnyCrowd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holders := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) intake.Holder {
			return intake.Holder{
				Phase: intake.Phase(rapid.IntRange(0, 2).Draw(t, "phase")), Held: rapid.Int64Range(0, 4<<20).Draw(t, "held"),
				IsSlow: rapid.Bool().Draw(t, "slow"), IsWaiting: rapid.Bool().Draw(t, "waiting"), Rate: rapid.Float64Range(0, 1e6).Draw(t, "rate"),
			}
		}), 0, 50).Draw(t, "holders")
		need := rapid.Int64Range(-1, 20<<20).Draw(t, "need")
		released, last := int64(0), int64(1<<62)
		for _, n := range intake.Victims(holders, need, rapid.Bool().Draw(t, "small")) {
			h := holders[n]
			if !h.IsSlow || h.IsWaiting || h.Phase == intake.Serving || h.Held > last || released >= need {
				t.Fatalf("%+v is shed for %d bytes after %d are released", h, need, released)
			}
			released, last = released+h.Held, h.Held
		}
	})
}

// Guards against bounds that exceed the memory or the descriptors of a machine, and against
// a machine on which the largest request or an ordinary crowd finds no place.
func TestBounds(t *testing.T) {
	is := is.New(t)
	for _, memory := range []int64{144e6, 284e6, 536e6, 32e9} {
		b := intake.BoundsFor(memory, 20000)
		connections := b.Connections[intake.Clients]
		is.True(b.Memory-b.Reserve >= 4<<20+intake.BaseBytes)
		is.True(b.Memory+int64(connections)*16<<10 <= memory*2/5)
		is.True(connections >= 1000)
		is.True(2*connections+b.Connections[intake.Peers]+b.Connections[intake.Operators] <= 20000)
	}
	small := intake.BoundsFor(144e6, 1024).Connections
	is.True(2*small[intake.Clients]+small[intake.Peers]+small[intake.Operators] <= 1024)
}
