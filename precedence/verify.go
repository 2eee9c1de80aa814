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
	// Keys are the registered public keys. An origin without an incarnation applies to
	// all incarnations of the instance. For a chain without a registered key, the key
	// of its first batch in the log is used.
	Keys map[Origin]ed25519.PublicKey
	// AllowExpiredStart accepts chains that start after sequence number 1, for logs that
	// no longer retain the first batches.
	AllowExpiredStart bool
}

// Verify checks batches, in the order of the log, without registered keys.
func Verify(batches []Batch) Report { return Verifier{}.Verify(batches) }

// Verify checks the signatures, hashes, order and completeness of batches, which must be
// in the order of the log. An unchanged repeat of a batch is not a fault.
func (v Verifier) Verify(batches []Batch) Report {
	report, _ := v.check(batches)
	return report
}

// check returns the report, and for each chain its batches in the order of their sequence
// numbers, without forged and repeated batches.
func (v Verifier) check(batches []Batch) (Report, [][]indexedBatch) {
	report := Report{Chains: []ChainReport{}, Findings: []Finding{}}
	var chains [][]indexedBatch
	var order []Origin
	byOrigin := map[Origin][]indexedBatch{}
	for i, b := range batches {
		origin := Origin{b.Instance, b.Incarnation}
		if byOrigin[origin] == nil {
			order = append(order, origin)
		}
		byOrigin[origin] = append(byOrigin[origin], indexedBatch{b, i})
	}
	for _, origin := range order {
		checker := chainChecker{
			origin: origin, allowExpiredStart: v.AllowExpiredStart, report: ChainReport{Origin: origin},
			byFirstSequence: map[uint64][]indexedBatch{}, faulty: map[int]bool{},
		}
		checker.key, checker.report.KeyRegistered = v.keyOf(origin)
		for _, b := range byOrigin[origin] {
			checker.add(b)
		}
		checker.checkSequence()
		report.Chains = append(report.Chains, checker.report)
		report.Findings = append(report.Findings, checker.findings...)
		chains = append(chains, checker.accepted)
	}
	return report, chains
}

// keyOf returns the registered key of a chain, or false if there is none.
func (v Verifier) keyOf(origin Origin) (ed25519.PublicKey, bool) {
	if key, ok := v.Keys[origin]; ok {
		return key, true
	}
	key, ok := v.Keys[Origin{Instance: origin.Instance}]
	return key, ok
}

// indexedBatch is a batch with its index in the input.
type indexedBatch struct {
	Batch
	index int
}

// equals reports whether two batches have the same content and signature.
func (b indexedBatch) equals(other indexedBatch) bool {
	return b.FirstSequence == other.FirstSequence && b.Head == other.Head && b.PublicKey.Equal(other.PublicKey) &&
		bytes.Equal(b.Signature, other.Signature) && slices.Equal(b.Records, other.Records)
}

// chainChecker checks the batches of one chain.
type chainChecker struct {
	origin            Origin
	allowExpiredStart bool
	key               ed25519.PublicKey
	// accepted holds the batches that are neither forged nor repeats.
	accepted []indexedBatch
	report   ChainReport
	findings []Finding
	// byFirstSequence holds the accepted batches by their first sequence number.
	byFirstSequence map[uint64][]indexedBatch
	// faulty holds the indices of batches whose own content has a finding.
	faulty map[int]bool
}

func (c *chainChecker) addFinding(fault Fault, batch indexedBatch, first, last uint64, format string, args ...any) {
	c.findings = append(c.findings, Finding{
		Fault: fault, Origin: c.origin, FirstSequence: first, LastSequence: last, BatchIndex: batch.index, Detail: fmt.Sprintf(format, args...),
	})
}

// add checks the next batch in the order of the log, apart from its links to other
// batches.
func (c *chainChecker) add(batch indexedBatch) {
	if c.key == nil {
		c.key = batch.PublicKey
	}
	c.report.KeyFingerprint = Fingerprint(c.key)
	if !batch.PublicKey.Equal(c.key) {
		keySource := "the key of the first batch of the chain"
		if c.report.KeyRegistered {
			keySource = "the registered key"
		}
		c.addFinding(FaultForged, batch, batch.FirstSequence, batch.lastSequence(), "signed with key %s, but %s is %s", Fingerprint(batch.PublicKey), keySource, c.report.KeyFingerprint)
		return
	}
	if slices.ContainsFunc(c.byFirstSequence[batch.FirstSequence], batch.equals) {
		c.report.Repeats++
		return
	}
	findingsBefore := len(c.findings)
	c.checkContent(batch)
	if len(c.findings) > findingsBefore {
		c.faulty[batch.index] = true
	}
	if count := len(c.accepted); count > 0 && batch.FirstSequence < c.accepted[count-1].FirstSequence {
		c.addFinding(FaultReordered, batch, batch.FirstSequence, batch.lastSequence(), "the batch comes after a batch that starts with the later record %d", c.accepted[count-1].FirstSequence)
	}
	c.accepted = append(c.accepted, batch)
	c.byFirstSequence[batch.FirstSequence] = append(c.byFirstSequence[batch.FirstSequence], batch)
}

func (c *chainChecker) checkContent(batch indexedBatch) {
	if !batch.HasValidSignature() {
		c.addFinding(FaultChanged, batch, batch.FirstSequence, batch.lastSequence(), "the signature does not match the batch")
	}
	if len(batch.Records) == 0 {
		c.addFinding(FaultChanged, batch, batch.FirstSequence, batch.FirstSequence, "the batch has no records")
		return
	}
	records := c.sortedRecords(batch)
	expected, previous, hasPrevious := batch.FirstSequence, Hash{}, false
	for i, r := range records {
		if (Origin{r.Instance, r.Incarnation}) != c.origin {
			c.addFinding(FaultChanged, batch, r.Sequence, r.Sequence, "the record has instance %q, incarnation %q, which differ from those of the batch", r.Instance, r.Incarnation)
		}
		if (r.Kind == Gap) != (r.LostCount > 0) || r.LostCount > r.Sequence {
			c.addFinding(FaultChanged, batch, r.Sequence, r.Sequence, "a record of kind %q has an invalid number of lost records: %d", r.Kind, r.LostCount)
		}
		switch first := r.firstSequence(); {
		case first > expected:
			c.addFinding(FaultMissing, batch, expected, first-1, "the batch does not contain these records")
		case first < expected:
			c.addFinding(FaultChanged, batch, first, r.Sequence, "the sequence number overlaps an earlier record or precedes the start of the batch")
		case hasPrevious && r.PreviousHash != previous:
			previousSequence := records[i-1].Sequence
			c.addFinding(FaultChanged, batch, previousSequence, r.Sequence, "the hash of record %d differs from the previous hash in record %d", previousSequence, r.Sequence)
		}
		expected, previous, hasPrevious = r.Sequence+1, r.Hash(), true
	}
	if previous != batch.Head {
		c.addFinding(FaultChanged, batch, batch.FirstSequence, batch.lastSequence(), "the records do not match the head hash of the batch")
	}
}

// sortedRecords returns the records of a batch ordered by sequence number.
func (c *chainChecker) sortedRecords(batch indexedBatch) []Record {
	for i, r := range batch.Records[1:] {
		if preceding := batch.Records[i]; r.Sequence < preceding.Sequence {
			c.addFinding(FaultReordered, batch, r.Sequence, r.Sequence, "the record comes after the later record %d", preceding.Sequence)
			return slices.SortedStableFunc(slices.Values(batch.Records), func(x, y Record) int { return cmp.Compare(x.Sequence, y.Sequence) })
		}
	}
	return batch.Records
}

// checkSequence checks that the accepted batches follow each other without gaps or
// overlaps, and adds them to the report.
func (c *chainChecker) checkSequence() {
	slices.SortStableFunc(c.accepted, func(a, b indexedBatch) int { return cmp.Compare(a.FirstSequence, b.FirstSequence) })
	expected := uint64(1)
	if c.allowExpiredStart && len(c.accepted) > 0 {
		expected = c.accepted[0].FirstSequence
	}
	for i, b := range c.accepted {
		if b.FirstSequence > expected {
			c.addFinding(FaultMissing, b, expected, b.FirstSequence-1, "no batch contains these records")
		}
		if b.FirstSequence < expected {
			c.addFinding(FaultChanged, b, b.FirstSequence, b.lastSequence(), "the sequence numbers overlap those of a different batch")
		}
		if b.FirstSequence == expected && !c.isLinked(i) {
			c.addFinding(FaultChanged, b, b.FirstSequence, b.FirstSequence, "the previous hash in the record does not match the chain")
		}
		expected = max(expected, b.lastSequence()+1)
		c.addToReport(b)
	}
}

// isLinked reports whether the first record of an accepted batch has the hash of the
// record before it. To avoid reporting one fault twice, a batch counts as linked if it or
// the preceding batch already has a finding. It also counts as linked if the preceding
// batch is unknown.
func (c *chainChecker) isLinked(index int) bool {
	batch := c.accepted[index]
	if len(batch.Records) == 0 || c.faulty[batch.index] {
		return true
	}
	if index == 0 {
		return batch.FirstSequence != 1 || batch.Records[0].PreviousHash == Hash{}
	}
	preceding := c.accepted[index-1]
	return c.faulty[preceding.index] || batch.Records[0].PreviousHash == preceding.Head
}

// addToReport adds the counts of an accepted batch to the report of the chain.
func (c *chainChecker) addToReport(batch indexedBatch) {
	if c.report.Batches == 0 {
		c.report.FirstSequence = batch.FirstSequence
	}
	c.report.Batches++
	c.report.Records += len(batch.Records)
	c.report.LastSequence = max(c.report.LastSequence, batch.lastSequence())
	for _, r := range batch.Records {
		if r.Kind == Gap {
			c.report.Gaps = append(c.report.Gaps, GapReport{
				FirstSequence: r.firstSequence(), LastSequence: r.Sequence, Count: r.LostCount,
				FirstLostAt: r.Arrival, LastLostAt: r.DecidedAt,
			})
		}
	}
}
