package instance

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"lycheecrank.example/catalogue"
	"lycheecrank.example/frontend"
	"lycheecrank.example/lock"
	"lycheecrank.example/member"
	"lycheecrank.example/peer"
	"lycheecrank.example/provider"
)

const (
	// localTargets is the number of gossip targets per round in this data centre.
	localTargets = 2
	// remoteTargets is the number of gossip targets per round in all other data centres.
	remoteTargets = 2
	// recentLimit is the least number of ownership records kept for peers: older ones
	// are removed, and a gap removes all records before it.
	recentLimit = 512
	// listInterval is the time between two reads of the list of instances.
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
		Self: i.self, Execute: i.execute, Digest: i.digest, ApplyDigest: i.applyReceivedDigest,
		Records: i.records, ApplyRecords: i.applyPeerRecords, CancelRequest: i.requestCommands.Cancel,
		Logger: i.Logger, Counters: i.counters.peers, Track: frontend.Track,
	}
	i.gossip = &peer.Gossip{
		Targets: i.gossipTargets, Digest: i.digest, ApplyDigest: i.applyReturnedDigest,
		ExchangeDigests: i.peerClient.ExchangeDigests, FetchRecords: i.peerClient.FetchRecords, SendRecords: i.peerClient.SendRecords,
		Records: i.records, ApplyRecords: i.applyPeerRecords, AcceptGap: i.acceptGap,
		OnFailure: i.onGossipFailed, Counters: i.counters.peers,
	}
}

// gossipTargets returns the peer addresses of the next round. They are chosen at
// random, so that each instance is reached after a few rounds.
func (i *Instance) gossipTargets() []string {
	var local, remote []string
	for _, m := range i.memberQueries.All() {
		switch {
		case m.Name == i.self.Instance || m.PeerAddress == "":
		case m.DataCentre == i.self.DataCentre:
			local = append(local, m.PeerAddress)
		default:
			remote = append(remote, m.PeerAddress)
		}
	}
	return append(sample(local, localTargets), sample(remote, remoteTargets)...)
}

func sample(addresses []string, count int) []string {
	rand.Shuffle(len(addresses), func(a, b int) { addresses[a], addresses[b] = addresses[b], addresses[a] })
	return addresses[:min(count, len(addresses))]
}

// digest returns the digest of this instance for its peers.
func (i *Instance) digest() peer.Digest {
	digest := peer.Digest{
		CatalogueOffset: i.catalogueQueries.Current().Offset,
		OwnershipOffset: i.ownershipQueries.State().Applied(),
		LogContactAgeMs: i.logContact.age().Milliseconds(),
		Leaving:         i.isLeaving.Load(),
	}
	now := time.Now()
	for _, h := range i.catalogueQueries.Holds().All() {
		if now.Before(h.EndsAt) && !h.Recorded {
			digest.Holds = append(digest.Holds, peer.Hold{
				DataCentre: h.DataCentre, Operator: h.Operator,
				EndsInMs: h.EndsAt.Sub(now).Milliseconds(), Sequence: h.Sequence, Released: h.Released,
			})
		}
	}
	return digest
}

// applyReceivedDigest applies the digest that a peer has sent to this instance in its
// gossip round.
func (i *Instance) applyReceivedDigest(from peer.Hello, digest peer.Digest) {
	i.applyHolds(digest.Holds)
	known, ok := i.memberQueries.ByName(from.Instance)
	if !ok || known.Incarnation != from.Incarnation {
		return
	}
	i.memberCommands.MarkReachable(known, time.Now())
	if digest.Leaving {
		i.memberCommands.MarkLeaving(from.Instance, from.Incarnation)
	}
}

// applyReturnedDigest applies the digest that the peer at an address has returned
// in a gossip round of this instance.
func (i *Instance) applyReturnedDigest(address string, digest peer.Digest) {
	i.applyHolds(digest.Holds)
	m, ok := i.memberByAddress(address)
	if !ok {
		return
	}
	i.memberCommands.MarkReachable(m, time.Now())
	if digest.Leaving {
		i.memberCommands.MarkLeaving(m.Name, m.Incarnation)
	}
}

func (i *Instance) applyHolds(holds []peer.Hold) {
	now := time.Now()
	for _, h := range holds {
		i.catalogueCommands.ApplyHold(catalogue.Hold{
			DataCentre: h.DataCentre, Operator: h.Operator, Sequence: h.Sequence, Released: h.Released,
			EndsAt: now.Add(min(time.Duration(h.EndsInMs)*time.Millisecond, catalogue.MaxHoldDuration)),
		})
	}
	if len(holds) > 0 {
		i.applyDataCentreState()
	}
}

func (i *Instance) onGossipFailed(address string, _ error) {
	if m, ok := i.memberByAddress(address); ok {
		i.memberCommands.MarkUnreachable(m.Name)
	}
}

func (i *Instance) memberByAddress(peerAddress string) (member.Instance, bool) {
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
		return i.recentOwnership.recordsAfter(after)
	}
	return nil
}

// applyPeerRecords applies records received from a peer.
func (i *Instance) applyPeerRecords(stream string, records []provider.Record) {
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

// acceptGap reports whether records of a stream may be replaced by a snapshot when
// the peer no longer has them. Only the catalogue has snapshots.
func (i *Instance) acceptGap(stream string, _ uint64, _ provider.Record) bool {
	return stream == peer.CatalogueStream
}

// recentRecords holds the latest records of the ownership stream, for peers that are
// cut off from the log.
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

// recordsAfter returns the records after an offset, or none if the next one is no longer
// held or does not exist.
func (r *recentRecords) recordsAfter(after uint64) []provider.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n, record := range r.records {
		if record.Offset == after+1 {
			return append([]provider.Record{}, r.records[n:]...)
		}
	}
	return nil
}
