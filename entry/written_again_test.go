package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/codec"
	"lycheecrank.example/engine"
	"lycheecrank.example/fleet"
	"lycheecrank.example/platform"
	"lycheecrank.example/precedence"
)

// Guards against an instance that others can't find through the store, because its entry was
// lost when the store came back from an older copy.
func TestInstancesRegisterAgainAfterReturn(t *testing.T) {
	t.Parallel()
	s := newTestSite(t)
	empty := s.store.Copy()
	s.start("n1", "n2")
	isRegistered := func() bool {
		return !slices.ContainsFunc(s.instances, func(n *testInstance) bool {
			_, ok := s.store.Newest(platform.InstanceStream, n.Settings.Name)
			return !ok
		})
	}
	s.waitFor("the instances are registered", isRegistered)
	s.store.Restore(empty)
	s.waitFor("the instances are registered again", isRegistered)
}

// Guards against an end of the chain of decision records that the store lacks after it has
// come back from an older copy, so that missing records go unnoticed.
func TestAnchorIsWrittenAgainAfterReturn(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := newReturnPlay(t)
	d := p.reader.decisions
	empty := p.store.Copy()
	last := func() uint64 {
		value, ok := p.store.Newest(platform.DecisionStream, "n1@1")
		if !ok {
			return 0
		}
		var a precedence.Anchor
		is.NoErr(codec.Unmarshal(value, &a))
		return a.LastSequence
	}
	p.step("start")
	d.writeAnchor(t.Context(), finalAnchorTimeout)
	is.Equal(p.store.End(platform.DecisionStream), 0) // there is nothing to anchor
	d.anchor, d.isAnchored = precedence.Anchor{Instance: "n1", Incarnation: "1", LastSequence: 7}, false
	d.writeAnchor(t.Context(), finalAnchorTimeout)
	is.Equal(last(), uint64(7))
	d.writeAnchor(t.Context(), finalAnchorTimeout)
	is.Equal(p.store.End(platform.DecisionStream), 1) // one write in an era
	p.store.Restore(empty)
	is.Equal(last(), uint64(0))
	p.step("back")
	d.writeAnchor(t.Context(), finalAnchorTimeout)
	is.Equal(last(), uint64(7))
}

// Guards against quarantined prompts that crash engines again after a stop of all instances,
// and prompts that are refused although their quarantine has ended, because the store has
// come back from an older copy before.
func TestQuarantineIsWrittenAgainAfterReturn(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := newReturnPlay(t)
	i := p.reader
	prompt := func(part string) engine.Prompt {
		return engine.Prompt{Parts: []engine.Part{{ID: part}, {ID: "own"}}}
	}
	quarantined := func(part string) string {
		for n := range 3 {
			server := fmt.Sprint("e", n)
			i.recordCrash(fleet.Server{ID: server}, part+server, prompt(part))
			pause(t.Context(), 300*time.Millisecond) // crashes at the same moment count as one
		}
		changed := i.quarantine.Commands().Judge(time.Now(), func(string) bool { return true })
		is.Equal(len(changed), 1)
		is.NoErr(i.writeQuarantine(t.Context(), changed[0].Key()))
		return changed[0].Key()
	}
	isStored := func(key string) bool {
		_, ok := p.store.Newest(platform.QuarantineStream, key)
		return ok
	}
	ended := quarantined("sound")
	older := p.store.Copy()
	lost := quarantined(crashPart)
	i.announceQuarantine(i.quarantine.Commands().RecordSuccess(prompt("sound").SharedParts(), time.Now()))
	<-i.quarantineWrites
	is.NoErr(i.writeQuarantine(t.Context(), ended))
	is.True(isStored(lost) && !isStored(ended))
	p.store.Restore(older)
	is.True(!isStored(lost) && isStored(ended))
	is.NoErr(i.readQuarantine(t.Context()))
	for len(i.quarantineWrites) > 0 {
		is.NoErr(i.writeQuarantine(t.Context(), <-i.quarantineWrites))
	}
	is.True(isStored(lost) && !isStored(ended))
	is.NoErr(i.readQuarantine(t.Context()))
	is.Equal(len(i.quarantineWrites), 0)
}
