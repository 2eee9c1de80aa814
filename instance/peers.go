package instance

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"lycheecrank.example/catalogue"
	"lycheecrank.example/lock"
	"lycheecrank.example/member"
	"lycheecrank.example/peer"
	"lycheecrank.example/provider"
)

// Gossip targets of a round: some of the own data centre, some of others.
const (
	targetsHere  = 2
	targetsAway  = 2
	recentLimit  = 512
	listInterval = 2 * time.Second
)

func (i *Instance) buildPeers() {
	i.peerClient = peer.NewClient(i.self)
	i.peerClient.Logger, i.peerClient.Counters = i.Logger, i.counters.peers
	dialer := net.Dialer{Timeout: i.Settings.Timeouts.PeerDial}
	i.peerClient.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
	i.peerServer = &peer.Server{
		Self: i.self, Execute: i.execute, Digest: i.digest, ApplyDigest: i.takeDigest,
		Records: i.records, ApplyRecords: i.takeRecords, CancelRequest: i.requestCommands.Cancel,
		Logger: i.Logger, Counters: i.counters.peers,
	}
	i.gossip = &peer.Gossip{
		Targets: i.gossipTargets, Digest: i.digest, ApplyDigest: i.takeDigestFrom,
		ExchangeDigests: i.peerClient.ExchangeDigests, FetchRecords: i.peerClient.FetchRecords, SendRecords: i.peerClient.SendRecords,
		Records: i.records, ApplyRecords: i.takeRecords, AcceptGap: i.acceptGap,
		OnFailure: i.gossipFailed, Counters: i.counters.peers,
	}
}

// gossipTargets picks instances at random, so that each is reached in time.
func (i *Instance) gossipTargets() []string {
	var here, away []string
	for _, m := range i.memberQueries.All() {
		switch {
		case m.Name == i.self.Instance || m.PeerAddress == "":
		case m.DataCentre == i.self.DataCentre:
			here = append(here, m.PeerAddress)
		default:
			away = append(away, m.PeerAddress)
		}
	}
	return append(pick(here, targetsHere), pick(away, targetsAway)...)
}

func pick(addresses []string, n int) []string {
	rand.Shuffle(len(addresses), func(a, b int) { addresses[a], addresses[b] = addresses[b], addresses[a] })
	return addresses[:min(n, len(addresses))]
}

// digest returns what this instance knows.
func (i *Instance) digest() peer.Digest {
	d := peer.Digest{
		CatalogueOffset: i.catalogueQueries.Current().Offset,
		OwnershipOffset: i.ownershipQueries.State().Applied(),
		LogContactAgeMs: i.contact.age().Milliseconds(),
		Leaving:         i.leaving.Load(),
	}
	now := time.Now()
	for _, h := range i.catalogueQueries.Holds().All() {
		if now.Before(h.EndsAt) && !h.Recorded {
			d.Holds = append(d.Holds, peer.Hold{
				DataCentre: h.DataCentre, Operator: h.Operator,
				EndsInMs: h.EndsAt.Sub(now).Milliseconds(), Sequence: h.Sequence, Released: h.Released,
			})
		}
	}
	return d
}

// takeDigest takes the digest of a peer that has dialled this instance.
func (i *Instance) takeDigest(from peer.Hello, d peer.Digest) {
	i.takeHolds(d.Holds)
	known, ok := i.memberQueries.ByName(from.Instance)
	if !ok || known.Incarnation != from.Incarnation {
		return
	}
	i.memberCommands.MarkReachable(known, time.Now())
	if d.Leaving {
		i.memberCommands.MarkLeaving(from.Instance, from.Incarnation)
	}
}

// takeDigestFrom takes the digest that a peer at an address has answered.
func (i *Instance) takeDigestFrom(address string, d peer.Digest) {
	i.takeHolds(d.Holds)
	m, ok := i.memberAt(address)
	if !ok {
		return
	}
	i.memberCommands.MarkReachable(m, time.Now())
	if d.Leaving {
		i.memberCommands.MarkLeaving(m.Name, m.Incarnation)
	}
}

func (i *Instance) takeHolds(holds []peer.Hold) {
	now := time.Now()
	for _, h := range holds {
		i.catalogueCommands.ApplyHold(catalogue.Hold{
			DataCentre: h.DataCentre, Operator: h.Operator, Sequence: h.Sequence, Released: h.Released,
			EndsAt: now.Add(min(time.Duration(h.EndsInMs)*time.Millisecond, catalogue.MaxHoldDuration)),
		})
	}
	if len(holds) > 0 {
		i.followOpen()
	}
}

func (i *Instance) gossipFailed(address string, _ error) {
	if m, ok := i.memberAt(address); ok {
		i.memberCommands.MarkUnreachable(m.Name)
	}
}

func (i *Instance) memberAt(peerAddress string) (member.Instance, bool) {
	for _, m := range i.memberQueries.All() {
		if m.PeerAddress == peerAddress {
			return m, true
		}
	}
	return member.Instance{}, false
}

// records returns the records of a stream after an offset.
func (i *Instance) records(stream string, after uint64) []provider.Record {
	switch stream {
	case peer.CatalogueStream:
		return i.catalogueRecords(after)
	case peer.OwnershipStream:
		return i.recent.since(after)
	}
	return nil
}

// takeRecords applies records that a peer passed on.
func (i *Instance) takeRecords(stream string, records []provider.Record) {
	var err error
	switch stream {
	case peer.CatalogueStream:
		err = i.applyCatalogue(records, "peer")
	case peer.OwnershipStream:
		err = i.applyOwnership(records)
	}
	if err != nil {
		i.counters.peers.Add("recordsNotApplied")
	}
}

// acceptGap allows a snapshot of the catalogue in place of the records that a
// peer no longer has.
func (i *Instance) acceptGap(stream string, _ uint64, _ provider.Record) bool {
	return stream == peer.CatalogueStream
}

// recentRecords holds the latest records of a stream, for peers that are cut off
// from the log.
type recentRecords struct {
	mu      *lock.Ranked
	records []provider.Record
}

func newRecentRecords() *recentRecords {
	return &recentRecords{mu: lock.New(lock.RankPeer, "recent records")}
}

func (r *recentRecords) add(record provider.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.records); n > 0 && r.records[n-1].Offset+1 != record.Offset {
		if record.Offset <= r.records[n-1].Offset {
			return
		}
		r.records = nil
	}
	r.records = append(r.records, record)
	if len(r.records) > 2*recentLimit {
		r.records = append([]provider.Record{}, r.records[recentLimit:]...)
	}
}

// since returns the records after an offset, or none if some are gone.
func (r *recentRecords) since(after uint64) []provider.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n, record := range r.records {
		if record.Offset == after+1 {
			return append([]provider.Record{}, r.records[n:]...)
		}
	}
	return nil
}
