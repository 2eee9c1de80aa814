package precedence

import (
	"crypto/ed25519"
	"fmt"
)

// Anchor is the end of a chain at some moment, kept apart from the chain: where the
// records themselves are in logs that somebody could cut off, the anchor shows up to
// where they must reach. It is an immutable value.
type Anchor struct {
	Instance    string            `msgpack:"instance" json:"instance"`
	Incarnation string            `msgpack:"incarnation" json:"incarnation"`
	Last        uint64            `msgpack:"last" json:"last"`
	Head        Hash              `msgpack:"head" json:"-"`
	PublicKey   ed25519.PublicKey `msgpack:"publicKey" json:"-"`
}

// Anchor returns the end of a signed batch.
func (b Batch) Anchor() Anchor {
	return Anchor{Instance: b.Instance, Incarnation: b.Incarnation, Last: b.last(), Head: b.Head, PublicKey: b.PublicKey}
}

// AnchorFault is what an anchor shows about the records of its chain.
type AnchorFault string

// The faults.
const (
	// AnchorUnreached: the records end before the anchor.
	AnchorUnreached AnchorFault = "unreached"
	// AnchorDiffers: the records at the anchor are others than those that were
	// anchored, or are signed with another key.
	AnchorDiffers AnchorFault = "differs"
	// AnchorMissing: no anchor of the chain is known, so that its end can't be
	// checked.
	AnchorMissing AnchorFault = "missing"
)

// AnchorFinding is a chain whose end is in doubt.
type AnchorFinding struct {
	Origin Origin      `json:"origin"`
	Fault  AnchorFault `json:"fault"`
	// Known is the last sequence number in the records, Anchored that of the anchor.
	Known    uint64 `json:"known"`
	Anchored uint64 `json:"anchored"`
}

// String returns the finding as a sentence.
func (f AnchorFinding) String() string {
	chain := fmt.Sprintf("chain of %s, incarnation %s: ", f.Origin.Instance, f.Origin.Incarnation)
	switch f.Fault {
	case AnchorUnreached:
		return chain + fmt.Sprintf("records end at %d, but %d were written", f.Known, f.Anchored)
	case AnchorDiffers:
		return chain + fmt.Sprintf("the records up to %d are not those that were anchored", f.Anchored)
	default:
		return chain + "no anchor is known, records after the last one may be missing"
	}
}

// CheckAnchors compares the ends of chains with their anchors, chain by chain in the
// order of the batches, then the chains of which there is only an anchor.
func CheckAnchors(batches []Batch, anchors []Anchor) []AnchorFinding {
	byOrigin := map[Origin]Anchor{}
	var order []Origin
	for _, a := range anchors {
		byOrigin[Origin{a.Instance, a.Incarnation}] = a
	}
	known := map[Origin]uint64{}
	matches := map[Origin]bool{}
	add := func(o Origin) {
		if _, ok := known[o]; !ok {
			known[o] = 0
			order = append(order, o)
		}
	}
	for _, b := range batches {
		o := Origin{b.Instance, b.Incarnation}
		add(o)
		known[o] = max(known[o], b.last())
		if a, ok := byOrigin[o]; ok && b.last() == a.Last {
			matches[o] = matches[o] || b.Head == a.Head && b.PublicKey.Equal(a.PublicKey)
		}
	}
	for _, a := range anchors {
		add(Origin{a.Instance, a.Incarnation})
	}
	findings := []AnchorFinding{}
	for _, o := range order {
		a, isAnchored := byOrigin[o]
		f := AnchorFinding{Origin: o, Known: known[o], Anchored: a.Last}
		switch {
		case !isAnchored:
			f.Fault = AnchorMissing
		case known[o] < a.Last:
			f.Fault = AnchorUnreached
		case !matches[o]:
			f.Fault = AnchorDiffers
		default:
			continue
		}
		findings = append(findings, f)
	}
	return findings
}
