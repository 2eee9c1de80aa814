package precedence

import (
	"bytes"
	"cmp"
	"crypto/ed25519"
	"fmt"
	"slices"
)

// Verifier checks batches from the log. Its zero value is ready for use.
type Verifier struct {
	// Keys are known public keys; an origin without incarnation stands for all
	// incarnations of the instance. The key of a chain that is not listed is that
	// of its first batch in the log.
	Keys map[Origin]ed25519.PublicKey
	// StartExpired accepts chains that begin after sequence number 1, because the
	// log no longer retains their first batches.
	StartExpired bool
}

// Verify checks batches, in the order of the log, without known keys.
func Verify(batches []Batch) Report { return Verifier{}.Verify(batches) }

// Verify checks batches, in the order of the log: their signatures, hashes,
// order and completeness. An unchanged repeat of a batch is no fault.
func (v Verifier) Verify(batches []Batch) Report {
	report, _ := v.check(batches)
	return report
}

// check returns the report and the batches of each chain in the order of their
// sequence numbers, without forged and repeated ones.
func (v Verifier) check(batches []Batch) (Report, [][]placed) {
	report := Report{Chains: []ChainReport{}, Findings: []Finding{}}
	var chains [][]placed
	var order []Origin
	byOrigin := map[Origin][]placed{}
	for i, b := range batches {
		o := Origin{b.Instance, b.Incarnation}
		if byOrigin[o] == nil {
			order = append(order, o)
		}
		byOrigin[o] = append(byOrigin[o], placed{b, i})
	}
	for _, o := range order {
		c := chainCheck{
			origin: o, startExpired: v.StartExpired, report: ChainReport{Origin: o},
			byFirst: map[uint64][]placed{}, faulty: map[int]bool{},
		}
		c.key, c.report.KeyRegistered = v.keyOf(o)
		for _, b := range byOrigin[o] {
			c.add(b)
		}
		c.join()
		report.Chains = append(report.Chains, c.report)
		report.Findings = append(report.Findings, c.findings...)
		chains = append(chains, c.accepted)
	}
	return report, chains
}

func (v Verifier) keyOf(o Origin) (ed25519.PublicKey, bool) {
	if key, ok := v.Keys[o]; ok {
		return key, true
	}
	key, ok := v.Keys[Origin{Instance: o.Instance}]
	return key, ok
}

// placed is a batch with its index in the input.
type placed struct {
	Batch
	index int
}

// same reports whether two batches have the same content and signature.
func (p placed) same(o placed) bool {
	return p.First == o.First && p.Head == o.Head && p.PublicKey.Equal(o.PublicKey) &&
		bytes.Equal(p.Signature, o.Signature) && slices.Equal(p.Records, o.Records)
}

// chainCheck checks the batches of one chain.
type chainCheck struct {
	origin       Origin
	startExpired bool
	key          ed25519.PublicKey
	accepted     []placed
	report       ChainReport
	findings     []Finding
	// byFirst holds the accepted batches by their first sequence number.
	byFirst map[uint64][]placed
	// faulty holds the indices of batches with a finding of their own.
	faulty map[int]bool
}

func (c *chainCheck) find(f Fault, b placed, first, last uint64, format string, args ...any) {
	c.findings = append(c.findings, Finding{
		Fault: f, Origin: c.origin, First: first, Last: last, Batch: b.index, Detail: fmt.Sprintf(format, args...),
	})
}

// add checks a batch by itself. Batches come in the order of the log.
func (c *chainCheck) add(b placed) {
	if c.key == nil {
		c.key = b.PublicKey
	}
	c.report.Key = Fingerprint(c.key)
	if !b.PublicKey.Equal(c.key) {
		whose := "the first batch of the chain"
		if c.report.KeyRegistered {
			whose = "the registry"
		}
		c.find(Forged, b, b.First, b.last(), "signed with key %s, but %s has key %s", Fingerprint(b.PublicKey), whose, c.report.Key)
		return
	}
	if slices.ContainsFunc(c.byFirst[b.First], b.same) {
		c.report.Repeats++
		return
	}
	before := len(c.findings)
	c.checkContent(b)
	if len(c.findings) > before {
		c.faulty[b.index] = true
	}
	if n := len(c.accepted); n > 0 && b.First < c.accepted[n-1].First {
		c.find(Reordered, b, b.First, b.last(), "the batch stands after one that begins with record %d", c.accepted[n-1].First)
	}
	c.accepted = append(c.accepted, b)
	c.byFirst[b.First] = append(c.byFirst[b.First], b)
}

func (c *chainCheck) checkContent(b placed) {
	if !b.SignatureValid() {
		c.find(Changed, b, b.First, b.last(), "the signature does not match the batch")
	}
	if len(b.Records) == 0 {
		c.find(Changed, b, b.First, b.First, "the batch has no records")
		return
	}
	records := c.inOrder(b)
	expected, previous, linked := b.First, Hash{}, false
	for i, r := range records {
		if (Origin{r.Instance, r.Incarnation}) != c.origin {
			c.find(Changed, b, r.Sequence, r.Sequence, "the record names instance %q, incarnation %q", r.Instance, r.Incarnation)
		}
		if (r.Kind == Gap) != (r.Lost > 0) || r.Lost > r.Sequence {
			c.find(Changed, b, r.Sequence, r.Sequence, "a record of kind %q can't stand for %d lost records", r.Kind, r.Lost)
		}
		switch first := r.first(); {
		case first > expected:
			c.find(Missing, b, expected, first-1, "the batch lacks records")
		case first < expected:
			c.find(Changed, b, first, r.Sequence, "two records have the same sequence number")
		case linked && r.Previous != previous:
			before := records[i-1].Sequence
			c.find(Changed, b, before, r.Sequence, "record %d does not match the hash that record %d holds", before, r.Sequence)
		}
		expected, previous, linked = r.Sequence+1, r.Hash(), true
	}
	if previous != b.Head {
		c.find(Changed, b, b.First, b.last(), "the records do not match the head hash of the batch")
	}
}

// inOrder returns the records of a batch by sequence number.
func (c *chainCheck) inOrder(b placed) []Record {
	for i, r := range b.Records[1:] {
		if before := b.Records[i]; r.Sequence < before.Sequence {
			c.find(Reordered, b, r.Sequence, r.Sequence, "the record stands after record %d", before.Sequence)
			return slices.SortedStableFunc(slices.Values(b.Records), func(x, y Record) int { return cmp.Compare(x.Sequence, y.Sequence) })
		}
	}
	return b.Records
}

// join checks that the batches continue each other and sums them up.
func (c *chainCheck) join() {
	slices.SortStableFunc(c.accepted, func(a, b placed) int { return cmp.Compare(a.First, b.First) })
	expected := uint64(1)
	if c.startExpired && len(c.accepted) > 0 {
		expected = c.accepted[0].First
	}
	for i, b := range c.accepted {
		if b.First > expected {
			c.find(Missing, b, expected, b.First-1, "no batch has these records")
		}
		if b.First < expected {
			c.find(Changed, b, b.First, b.last(), "another batch has different records under these numbers")
		}
		if b.First == expected && !c.continues(i) {
			c.find(Changed, b, b.First, b.First, "the record does not hold the hash of the one before")
		}
		expected = max(expected, b.last()+1)
		c.sum(b)
	}
}

// continues reports whether the accepted batch i holds the hash of what comes
// before it, if that is known and has no finding yet.
func (c *chainCheck) continues(i int) bool {
	b := c.accepted[i]
	if len(b.Records) == 0 || c.faulty[b.index] {
		return true
	}
	if i == 0 {
		return b.First != 1 || b.Records[0].Previous == Hash{}
	}
	before := c.accepted[i-1]
	return c.faulty[before.index] || b.Records[0].Previous == before.Head
}

func (c *chainCheck) sum(b placed) {
	if c.report.Batches == 0 {
		c.report.First = b.First
	}
	c.report.Batches++
	c.report.Records += len(b.Records)
	c.report.Last = max(c.report.Last, b.last())
	for _, r := range b.Records {
		if r.Kind == Gap {
			c.report.Gaps = append(c.report.Gaps, GapReport{First: r.first(), Last: r.Sequence, Count: r.Lost, From: r.Arrival, Until: r.At})
		}
	}
}
