package instance

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/catalogue"
	"lycheecrank.example/codec"
	"lycheecrank.example/editor"
	"lycheecrank.example/peer"
	"lycheecrank.example/provider"
	"lycheecrank.example/standin"
	"lycheecrank.example/standin/store"
)

// revisionSampler samples the catalogues of instances until stop and records the
// first one that goes back to an earlier revision or offset.
type revisionSampler struct {
	current map[string]func() catalogue.Catalogue
	fault   string
	stop    func()
}

// watchRevisions starts a sampler. The test fails at its end if a catalogue went back.
func watchRevisions(s *site) *revisionSampler {
	r := &revisionSampler{current: map[string]func() catalogue.Catalogue{}}
	for _, n := range s.all() {
		r.current[n.self.Instance] = n.catalogueQueries.Current
	}
	r.run(s.ctx)
	s.t.Cleanup(func() {
		r.stop()
		if r.fault != "" {
			s.t.Error(r.fault)
		}
	})
	return r
}

func (r *revisionSampler) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var sampling sync.WaitGroup
	r.stop = func() {
		cancel()
		sampling.Wait()
	}
	sampling.Go(func() {
		last := map[string]catalogue.Catalogue{}
		_ = runEvery(ctx, 5*time.Millisecond, func(context.Context) {
			for name, current := range r.current {
				c := current()
				if l := last[name]; (c.Revision < l.Revision || c.Offset < l.Offset) && r.fault == "" {
					r.fault = fmt.Sprintf("%s went back from revision %d to %d, offset %d to %d", name, l.Revision, c.Revision, l.Offset, c.Offset)
				}
				last[name] = c
			}
		})
	})
}

// Guards against a sampler that misses a catalogue that goes back.
func TestRevisionSamplerSeesStepBack(t *testing.T) {
	is := is.New(t)
	seen := make(chan struct{}, 4)
	revision := uint64(3)
	r := &revisionSampler{current: map[string]func() catalogue.Catalogue{"broken": func() catalogue.Catalogue {
		revision--
		seen <- struct{}{}
		return catalogue.Catalogue{Revision: revision, Offset: 1}
	}}}
	r.run(t.Context())
	<-seen
	<-seen
	r.stop()
	is.True(r.fault != "") // the decreasing revision is reported
}

// Guards against two instances that reach different verdicts on concurrent edits, and
// against a losing operator whose edit is reported as accepted.
func TestConflictingEditsHaveOneVerdict(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t, siteOptions{}, "a", "b")
	s.startInstances(nil, "a1", "b1")
	watchRevisions(s)
	base, err := s.editor.Load(s.ctx)
	is.NoErr(err)
	verdicts := make([]catalogue.Verdict, 2)
	var racing sync.WaitGroup
	for n := range verdicts {
		e := catalogue.Entry{Kind: catalogue.WorkspaceKind, Name: "lab", Owner: "tests", Class: "gold", Weight: 10 + n}
		racing.Go(func() {
			verdicts[n], _ = s.editor.Submit(s.ctx, editor.NewEdit("operator", changesOf(base.Catalogue, e)))
		})
	}
	racing.Wait()
	winner := 0
	if verdicts[1].Decision == catalogue.Accepted {
		winner = 1
	}
	is.Equal(verdicts[winner].Decision, catalogue.Accepted)
	is.Equal(verdicts[1-winner].Decision, catalogue.Conflict)
	s.awaitOffset(configurationBound, max(verdicts[0].Offset, verdicts[1].Offset), s.all()...)
	for _, n := range s.all() {
		e, _ := n.catalogueQueries.Current().Entry(catalogue.WorkspaceKind, "lab")
		is.Equal(e.Weight, 10+winner)
		is.Equal(n.catalogueQueries.Current().Revision, verdicts[winner].Offset)
	}
}

// Guards against an accepted edit that is late or reverted on an instance whose log is
// slow, unreachable or frozen, or that reconnects after it was cut off from the log
// and all peers. While it is cut off from both, it must not get the edit: this shows
// that the other cases depend on the records passed on by peers.
func TestEditInForceWithinBound(t *testing.T) {
	t.Parallel()
	s := newSite(t, siteOptions{}, "a", "b")
	s.startInstances(nil, "a1", "a2", "b1")
	watchRevisions(s)
	a1 := s.nodes["a1"]
	cutA1 := func(from, to string) bool { return from == "a1" || to == "a1" }
	noCut := func(string, string) bool { return false }
	for _, c := range []struct {
		name  string
		fault logFault
	}{
		{"slow", logFault{Delay: 500 * time.Millisecond}},
		{"down", logFault{Down: true}},
		{"frozen", logFault{Frozen: true}},
	} {
		a1.log.set(c.fault)
		s.awaitOffset(configurationBound, s.editWeight(5), s.all()...)
		a1.log.set(logFault{})
	}

	a1.log.set(logFault{Down: true})
	s.network.setCut(cutA1)
	before := a1.catalogueQueries.Current().Offset
	missed := s.editWeight(6)
	s.awaitOffset(configurationBound, missed, s.nodes["a2"], s.nodes["b1"])
	if after := a1.catalogueQueries.Current().Offset; after != before {
		t.Fatal("an instance that is cut off from the log and all peers got the edit, so the cases above prove nothing")
	}
	for n := range 3 {
		missed = s.editWeight(7 + n)
	}
	s.network.setCut(noCut)
	s.awaitOffset(configurationBound, missed, a1)
	a1.log.set(logFault{})
	s.awaitOffset(configurationBound, s.editWeight(20), s.all()...)
}

// Guards against an edit that is applied twice, or lost, because the response to its
// append was lost.
func TestLostAnswerOfEdit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t, siteOptions{}, "a")
	s.startInstances(nil, "a1", "a2")
	watchRevisions(s)
	lossy := newFaultyLog(s.log)
	lossy.set(logFault{LoseAnswer: true})
	loaded, err := s.editor.Load(s.ctx)
	is.NoErr(err)
	e := catalogue.Entry{Kind: catalogue.WorkspaceKind, Name: "lab", Owner: "tests", Class: "gold", Weight: 9}
	v, err := editor.Editor{Log: lossy.client()}.Submit(s.ctx, editor.NewEdit("operator", changesOf(loaded.Catalogue, e)))
	is.NoErr(err)
	is.Equal(v.Decision, catalogue.Accepted)
	s.awaitOffset(configurationBound, v.Offset, s.all()...)
	page, err := s.log.Read(s.ctx, catalogue.StreamName, 0)
	is.NoErr(err)
	is.Equal(page.Next, v.Offset+1) // the edit is in the log once
}

// Guards against an instance that starts during an outage of the log and never gets a
// catalogue, though its peers have the records, or a snapshot of them.
func TestStartDuringOutage(t *testing.T) {
	t.Parallel()
	s := newSite(t, siteOptions{}, "a", "b")
	s.startInstances(nil, "a1", "b1")
	offset := s.editWeight(3)
	s.awaitOffset(configurationBound, offset, s.all()...)
	n := s.prepare("a2", "a")
	n.log.set(logFault{Down: true})
	n.start()
	watchRevisions(s)
	s.awaitOffset(configurationBound, offset, n)
	s.awaitServing(configurationBound, "findings", n)
	s.awaitOffset(configurationBound, s.editWeight(4), s.all()...)
}

// Guards against records of peers that revert the catalogue, leave a gap or are
// applied twice.
func TestRecordsOfPeersOutOfOrder(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t, siteOptions{}, "a")
	s.startInstances(nil, "a1")
	for w := range 4 {
		s.editWeight(w + 2)
	}
	page, err := s.log.Read(s.ctx, catalogue.StreamName, 0)
	is.NoErr(err)
	records := page.Records
	n := s.prepare("a2", "a") // it doesn't run and gets only the records below
	sampler := &revisionSampler{current: map[string]func() catalogue.Catalogue{"a2": n.catalogueQueries.Current}}
	sampler.run(s.ctx)
	defer sampler.stop()
	offset := func() uint64 { return n.catalogueQueries.Current().Offset }
	last := uint64(len(records))

	n.applyPeerRecords(peer.CatalogueStream, records[1:2])
	is.Equal(offset(), uint64(0)) // a gap is not applied
	n.applyPeerRecords(peer.CatalogueStream, records[:2])
	n.applyPeerRecords(peer.CatalogueStream, records[:1])
	is.Equal(offset(), uint64(2)) // older records change nothing
	n.applyPeerRecords(peer.CatalogueStream, records[3:])
	is.Equal(offset(), uint64(2)) // a gap is not applied
	n.applyPeerRecords(peer.CatalogueStream, append([]provider.Record{records[1], records[1], records[2]}, records[2:]...))
	is.Equal(offset(), last)
	revision := n.catalogueQueries.Current().Revision
	is.Equal(revision, last)

	old := catalogue.FromSnapshot(catalogue.Snapshot{Offset: 2, Revision: 2}).Snapshot()
	data, err := codec.Marshal(catalogue.Record{Snapshot: &old})
	is.NoErr(err)
	n.applyPeerRecords(peer.CatalogueStream, []provider.Record{{Offset: 2, Data: data}})
	is.Equal(n.catalogueQueries.Current().Revision, revision) // an old snapshot changes nothing
	e, _ := n.catalogueQueries.Current().Entry(catalogue.WorkspaceKind, "lab")
	is.Equal(e.Weight, 5)
	sampler.stop()
	is.Equal(sampler.fault, "")
}

// Guards against snapshots that are appended too late for new instances, against a
// duplicate snapshot that changes the catalogue, and against an instance that can't
// catch up after the records that it needs have expired.
func TestSnapshots(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const retain = 8
	s := newSite(t, siteOptions{Platform: standin.PlatformOptions{Store: store.Options{Retain: retain}}}, "a")
	frequentSnapshots := func(n *node) {
		n.snapshots = snapshotPolicy{maxRecords: 4, maxAge: time.Hour, checkInterval: 50 * time.Millisecond}
	}
	s.startInstances(frequentSnapshots, "a1", "a2")
	watchRevisions(s)
	lagging := s.nodes["a2"]
	lagging.log.set(logFault{Down: true})
	s.network.setCut(func(string, string) bool { return true })
	a1 := s.nodes["a1"]
	for w := range 2 * retain {
		s.awaitOffset(configurationBound, s.editWeight(w+2), a1)
		s.await(configurationBound, "a snapshot in time", func() bool { return a1.catalogueQueries.RecordsSinceSnapshot() < 4 })
	}
	page, err := s.log.Read(s.ctx, catalogue.StreamName, 0)
	is.NoErr(err)
	is.True(page.Earliest > lagging.catalogueQueries.Current().Offset+1) // the next record that a2 needs has expired

	entries := a1.catalogueQueries.Current().Entries()
	is.NoErr(a1.appendSnapshot(s.ctx))
	is.NoErr(a1.appendSnapshot(s.ctx))
	page, err = s.log.Read(s.ctx, catalogue.StreamName, 0)
	is.NoErr(err)
	through := page.Next - 1
	s.awaitOffset(configurationBound, through, a1)
	is.Equal(a1.catalogueQueries.Current().Entries(), entries)

	started := s.prepare("a3", "a").start()
	lagging.log.set(logFault{})
	s.awaitOffset(configurationBound, through, started, lagging)
	for _, n := range s.all() {
		is.Equal(n.catalogueQueries.Current().Entries(), entries)
	}
}
