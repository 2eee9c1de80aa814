package entry

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/codec"
	"lycheecrank.example/engine"
	"lycheecrank.example/fleet"
	"lycheecrank.example/platform"
	"lycheecrank.example/precedence"
)

// anchorAfterLateWrite returns the end of the chain in the store after the store has
// executed an older anchor late. An unfenced write is the code before.
func anchorAfterLateWrite(t *testing.T, isFenced bool) uint64 {
	is := is.New(t)
	s := newTestSite(t)
	i := New(platform.Settings{Name: "n1", StoreAddress: s.store.Address()}, t.Output())
	d := i.decisions
	if !isFenced {
		d.putAnchor = func(ctx context.Context, key string, value []byte, _ uint64) error {
			return i.store.Put(ctx, platform.DecisionStream, key, value)
		}
	}
	write := func(last uint64) {
		d.anchor, d.isAnchored = precedence.Anchor{Instance: "n1", Incarnation: "1", LastSequence: last}, false
		d.writeAnchor(t.Context(), finalAnchorTimeout)
	}
	s.store.SetHeld(platform.DecisionStream, true)
	write(10)
	s.store.SetHeld(platform.DecisionStream, false)
	write(20)
	is.True(d.isAnchored)
	is.Equal(s.store.ExecuteHeld(), 1)
	value, ok := s.store.Newest(platform.DecisionStream, "n1@1")
	is.True(ok)
	var a precedence.Anchor
	is.NoErr(codec.Unmarshal(value, &a))
	return a.LastSequence
}

// Guards against an older anchor that the store executes after a newer one, so that lost
// decision records at the end of a chain go unnoticed.
func TestLateAnchorIsIgnored(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	is.Equal(anchorAfterLateWrite(t, true), uint64(20))
	is.Equal(anchorAfterLateWrite(t, false), uint64(10)) // the check finds the broken variant
}

// Guards against a quarantine that has ended and is in the store again, because the store
// executes its write late: after a stop of all instances, they would refuse its prompts.
func TestLateQuarantineIsIgnored(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newTestSite(t)
	i := New(platform.Settings{Name: "n1", StoreAddress: s.store.Address()}, t.Output())
	prompt := engine.Prompt{Parts: []engine.Part{{ID: crashPart}, {ID: "own"}}}
	for _, server := range []string{"e1", "e2", "e3"} {
		i.recordCrash(fleet.Server{ID: server}, server, prompt)
		pause(t.Context(), 300*time.Millisecond) // crashes at the same moment count as one
	}
	changed := i.quarantine.Commands().Judge(time.Now(), func(string) bool { return true })
	is.Equal(len(changed), 1)
	key := changed[0].Key()
	s.store.SetHeld(platform.QuarantineStream, true)
	is.True(i.writeQuarantine(t.Context(), key) != nil) // no response
	s.store.SetHeld(platform.QuarantineStream, false)
	i.announceQuarantine(i.quarantine.Commands().RecordSuccess(prompt.SharedParts(), time.Now()))
	is.NoErr(i.writeQuarantine(t.Context(), key))
	is.Equal(s.store.ExecuteHeld(), 1)
	_, isQuarantined := s.store.Newest(platform.QuarantineStream, key)
	is.True(!isQuarantined)
}
