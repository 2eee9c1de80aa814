package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"lycheecrank.example/counter"
	"lycheecrank.example/provider"
	"lycheecrank.example/request"
)

const (
	// gossipInterval with 4 targets a round spreads a record to 350 instances in
	// 5 to 6 rounds.
	gossipInterval = time.Second
	// maxPages bounds the messages of records of one stream in one round, so that
	// a long catch-up with one target does not stop the gossip with others.
	maxPages = 64
)

// Gossip exchanges digests with other instances and passes on records of the
// log. Set the exported fields before Run.
type Gossip struct {
	// Targets returns the addresses of this round's targets.
	Targets func() []string
	// Digest returns what this instance knows.
	Digest func() Digest
	// TakeDigest takes what the instance at an address knows.
	TakeDigest func(address string, d Digest)
	// Exchange, Fetch and Send are those of Client.
	Exchange func(ctx context.Context, address string, d Digest) (Digest, error)
	Fetch    func(ctx context.Context, address, stream string, after uint64) ([]provider.Record, error)
	Send     func(ctx context.Context, address, stream string, records []provider.Record) (int, error)
	// Records returns the records of a stream that this instance has after an
	// offset, in order.
	Records func(stream string, after uint64) []provider.Record
	// TakeRecords applies records. They are consecutive, and the first one follows
	// the offset of the digest, but for a gap that AcceptGap allows. The digest
	// shows their offset afterwards.
	TakeRecords func(stream string, records []provider.Record)
	// AcceptGap reports whether records may begin later than after+1, as with a
	// snapshot. Nil accepts no gap.
	AcceptGap func(stream string, after uint64, first provider.Record) bool
	// Failed is told about a target that did not answer; it may be nil.
	Failed func(address string, err error)
	// Counters counts refused records; it may be nil.
	Counters *counter.Set
}

// Run gossips each second until the context ends and returns nil. A tenth of
// the interval is random, so that instances started together spread out.
func (g *Gossip) Run(ctx context.Context) error {
	timer := time.NewTimer(rand.N(gossipInterval))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		timer.Reset(gossipInterval*19/20 + rand.N(gossipInterval/10))
		g.round(ctx)
	}
}

// round exchanges digests with all targets at once, and records with one after
// the other, so that no record is fetched twice.
func (g *Gossip) round(ctx context.Context) {
	targets := g.Targets()
	digests := make([]*Digest, len(targets))
	own := g.Digest()
	var exchanges sync.WaitGroup
	for i, address := range targets {
		exchanges.Go(func() { digests[i] = g.exchange(ctx, address, own) })
	}
	exchanges.Wait()
	for i, d := range digests {
		if d == nil {
			continue
		}
		for _, stream := range []string{CatalogueStream, OwnershipStream} {
			if err := g.level(ctx, targets[i], stream, d.Offset(stream)); err != nil {
				g.fail(ctx, targets[i], err)
				break
			}
		}
	}
}

func (g *Gossip) exchange(ctx context.Context, address string, own Digest) *Digest {
	ctx, cancel := context.WithTimeout(ctx, gossipInterval)
	defer cancel()
	d, err := g.Exchange(ctx, address, own)
	if err != nil {
		g.fail(ctx, address, err)
		return nil
	}
	g.TakeDigest(address, d)
	return &d
}

func (g *Gossip) fail(ctx context.Context, address string, err error) {
	if g.Failed != nil && ctx.Err() != context.Canceled {
		g.Failed(address, err)
	}
}

// level brings the older side of a stream up to the newer one.
func (g *Gossip) level(ctx context.Context, address, stream string, remote uint64) error {
	ctx, cancel := context.WithTimeout(ctx, 2*gossipInterval)
	defer cancel()
	local := g.Digest().Offset(stream)
	if local > remote {
		return g.sendFrom(ctx, address, stream, remote)
	}
	for range maxPages {
		if local >= remote {
			return nil
		}
		records, err := g.Fetch(ctx, address, stream, local)
		if err != nil || len(records) == 0 {
			return err
		}
		if err := g.take(stream, local, records); err != nil {
			return err
		}
		next := g.Digest().Offset(stream)
		if next <= local {
			g.count("recordsNotApplied")
			return nil
		}
		local = next
	}
	return nil
}

// take hands records over unless they leave a gap.
func (g *Gossip) take(stream string, local uint64, records []provider.Record) error {
	first := records[0]
	isGap := first.Offset != local+1
	if !isConsecutive(records, local) || (isGap && (g.AcceptGap == nil || !g.AcceptGap(stream, local, first))) {
		g.count("recordsRefused")
		return request.Refuse(request.ReasonResultInvalid, "records of "+stream+" with a gap")
	}
	g.TakeRecords(stream, records)
	return nil
}

func (g *Gossip) sendFrom(ctx context.Context, address, stream string, after uint64) error {
	records := g.Records(stream, after)
	for range maxPages {
		if len(records) == 0 {
			return nil
		}
		n, err := g.Send(ctx, address, stream, records)
		if err != nil {
			return err
		}
		records = records[n:]
	}
	return nil
}

func (g *Gossip) count(reason string) {
	if g.Counters != nil {
		g.Counters.Add(reason)
	}
}
