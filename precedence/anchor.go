package precedence

import (
	"crypto/ed25519"
	"fmt"
)

// Anchor identifies the last record of a chain at the time the anchor was taken. It is
// stored separately from the records, so that truncated logs can be detected: the
// records must reach at least to the anchor. It is an immutable value.
type Anchor struct {
	Instance     string            `msgpack:"instance" json:"instance"`
	Incarnation  string            `msgpack:"incarnation" json:"incarnation"`
	LastSequence uint64            `msgpack:"last" json:"last"`
	Head         Hash              `msgpack:"head" json:"-"`
	PublicKey    ed25519.PublicKey `msgpack:"publicKey" json:"-"`
}

// Anchor returns the anchor of the chain at the last record of a signed batch.
func (b Batch) Anchor() Anchor {
	return Anchor{Instance: b.Instance, Incarnation: b.Incarnation, LastSequence: b.lastSequence(), Head: b.Head, PublicKey: b.PublicKey}
}

// AnchorFault is the kind of a mismatch between a chain and its anchor.
type AnchorFault string

// The kinds of mismatch.
const (
	// AnchorUnreached: the records end before the anchor.
	AnchorUnreached AnchorFault = "unreached"
	// AnchorDiffers: no batch ends at the anchor with the same head hash and public
	// key.
	AnchorDiffers AnchorFault = "differs"
	// AnchorMissing: the chain has no anchor, so its end can't be checked.
	AnchorMissing AnchorFault = "missing"
)

// AnchorFinding describes a chain whose end could not be confirmed by an anchor.
type AnchorFinding struct {
	Origin Origin      `json:"origin"`
	Fault  AnchorFault `json:"fault"`
	// LastSequence is the last sequence number in the records, AnchoredSequence the
	// one in the anchor.
	LastSequence     uint64 `json:"known"`
	AnchoredSequence uint64 `json:"anchored"`
}

// String returns the finding as a sentence.
func (f AnchorFinding) String() string {
	chain := fmt.Sprintf("chain of %s, incarnation %s: ", f.Origin.Instance, f.Origin.Incarnation)
	switch f.Fault {
	case AnchorUnreached:
		return chain + fmt.Sprintf("the records end at %d, but the anchor is at %d", f.LastSequence, f.AnchoredSequence)
	case AnchorDiffers:
		return chain + fmt.Sprintf("the records up to %d do not match the anchor", f.AnchoredSequence)
	default:
		return chain + "no anchor is available; records after the last known one may be missing"
	}
}

// CheckAnchors compares the end of each chain with its anchor. The findings follow the
// order in which the chains appear in the batches; chains that have an anchor but no
// batches come last.
func CheckAnchors(batches []Batch, anchors []Anchor) []AnchorFinding {
	byOrigin := map[Origin]Anchor{}
	var order []Origin
	for _, a := range anchors {
		byOrigin[Origin{a.Instance, a.Incarnation}] = a
	}
	lastSequences := map[Origin]uint64{}
	matchesAnchor := map[Origin]bool{}
	addChain := func(origin Origin) {
		if _, ok := lastSequences[origin]; !ok {
			lastSequences[origin] = 0
			order = append(order, origin)
		}
	}
	for _, b := range batches {
		origin := Origin{b.Instance, b.Incarnation}
		addChain(origin)
		lastSequences[origin] = max(lastSequences[origin], b.lastSequence())
		if anchor, ok := byOrigin[origin]; ok && b.lastSequence() == anchor.LastSequence {
			matchesAnchor[origin] = matchesAnchor[origin] || b.Head == anchor.Head && b.PublicKey.Equal(anchor.PublicKey)
		}
	}
	for _, a := range anchors {
		addChain(Origin{a.Instance, a.Incarnation})
	}
	findings := []AnchorFinding{}
	for _, o := range order {
		anchor, isAnchored := byOrigin[o]
		finding := AnchorFinding{Origin: o, LastSequence: lastSequences[o], AnchoredSequence: anchor.LastSequence}
		switch {
		case !isAnchored:
			finding.Fault = AnchorMissing
		case lastSequences[o] < anchor.LastSequence:
			finding.Fault = AnchorUnreached
		case !matchesAnchor[o]:
			finding.Fault = AnchorDiffers
		default:
			continue
		}
		findings = append(findings, finding)
	}
	return findings
}
