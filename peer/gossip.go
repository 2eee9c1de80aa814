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
	// gossipInterval is the time between two rounds. With 4 targets a round, a
	// record reaches 350 instances in 5 to 6 rounds.
	gossipInterval = time.Second
	// maxMessagesPerStream bounds the messages of records sent or fetched for one
	// stream with one target in a round, so that a long catch-up with one target
	// does not delay gossip with the others.
	maxMessagesPerStream = 64
)

// Gossip exchanges digests with other instances and replicates records of the
// log. Set the exported fields before Run.
type Gossip struct {
	// Targets returns the addresses to contact in this round.
	Targets func() []string
	// Digest returns the digest of this instance.
	Digest func() Digest
	// ApplyDigest applies the digest of the instance at an address.
	ApplyDigest func(address string, d Digest)
	// ExchangeDigests, FetchRecords and SendRecords are the methods of Client.
	ExchangeDigests func(ctx context.Context, address string, d Digest) (Digest, error)
	FetchRecords    func(ctx context.Context, address, stream string, after uint64) ([]provider.Record, error)
	SendRecords     func(ctx context.Context, address, stream string, records []provider.Record) (int, error)
	// Records returns the records of a stream after an offset that this instance
	// holds, in ascending order of offset.
	Records func(stream string, after uint64) []provider.Record
	// ApplyRecords applies consecutive records. The first one follows the offset in
	// Digest directly, unless AcceptGap allows a gap. After it returns, Digest must
	// return the offset of the last applied record.
	ApplyRecords func(stream string, records []provider.Record)
	// AcceptGap reports whether the first record may have an offset above after+1,
	// as it does for a snapshot. Nil accepts no gap.
	AcceptGap func(stream string, after uint64, first provider.Record) bool
	// OnFailure is called with the error of a target; it may be nil.
	OnFailure func(address string, err error)
	// Counters counts rejected records; it may be nil.
	Counters *counter.Set
}

// Run starts a round about every second until the context ends, and then returns
// nil. Random jitter of a tenth of the interval keeps instances that started
// together from running their rounds in step.
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

// round exchanges digests with all targets concurrently, and records with one
// target after the other, so that no record is fetched twice.
func (g *Gossip) round(ctx context.Context) {
	targets := g.Targets()
	digests := make([]*Digest, len(targets))
	own := g.Digest()
	var exchanges sync.WaitGroup
	for i, address := range targets {
		exchanges.Go(func() { digests[i] = g.contactTarget(ctx, address, own) })
	}
	exchanges.Wait()
	for i, d := range digests {
		if d == nil {
			continue
		}
		for _, stream := range []string{CatalogueStream, OwnershipStream} {
			if err := g.syncStream(ctx, targets[i], stream, d.Offset(stream)); err != nil {
				g.reportFailure(ctx, targets[i], err)
				break
			}
		}
	}
}

func (g *Gossip) contactTarget(ctx context.Context, address string, own Digest) *Digest {
	ctx, cancel := context.WithTimeout(ctx, gossipInterval)
	defer cancel()
	d, err := g.ExchangeDigests(ctx, address, own)
	if err != nil {
		g.reportFailure(ctx, address, err)
		return nil
	}
	g.ApplyDigest(address, d)
	return &d
}

func (g *Gossip) reportFailure(ctx context.Context, address string, err error) {
	if g.OnFailure != nil && ctx.Err() != context.Canceled {
		g.OnFailure(address, err)
	}
}

// syncStream brings the side with the older records of a stream up to date.
func (g *Gossip) syncStream(ctx context.Context, address, stream string, remote uint64) error {
	ctx, cancel := context.WithTimeout(ctx, 2*gossipInterval)
	defer cancel()
	local := g.Digest().Offset(stream)
	if local > remote {
		return g.pushRecords(ctx, address, stream, remote)
	}
	for range maxMessagesPerStream {
		if local >= remote {
			return nil
		}
		records, err := g.FetchRecords(ctx, address, stream, local)
		if err != nil || len(records) == 0 {
			return err
		}
		if err := g.checkAndApply(stream, local, records); err != nil {
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

// checkAndApply applies fetched records and rejects them if they have a gap that
// is not accepted.
func (g *Gossip) checkAndApply(stream string, local uint64, records []provider.Record) error {
	first := records[0]
	hasGap := first.Offset != local+1
	if !isConsecutive(records, local) || (hasGap && (g.AcceptGap == nil || !g.AcceptGap(stream, local, first))) {
		g.count("recordsRefused")
		return request.Refuse(request.ReasonResultInvalid, "records of stream "+stream+" overlap the known ones or leave a gap that is not allowed")
	}
	g.ApplyRecords(stream, records)
	return nil
}

func (g *Gossip) pushRecords(ctx context.Context, address, stream string, after uint64) error {
	records := g.Records(stream, after)
	for range maxMessagesPerStream {
		if len(records) == 0 {
			return nil
		}
		n, err := g.SendRecords(ctx, address, stream, records)
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
