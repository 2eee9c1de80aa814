package claim

import (
	"crypto/sha256"

	"lycheecrank.example/request"
)

// Kind is the kind of a record. Records of an unknown kind are ignored.
type Kind int

// The kinds of records in a claim stream.
const (
	KindClaim Kind = iota + 1
	KindOutcome
)

// Digest is a SHA-256 digest.
type Digest [sha256.Size]byte

// Record is a record of a claim stream. The zero Record takes the place of a
// record that could not be decoded, and applying it changes nothing.
type Record struct {
	Kind Kind `msgpack:"kind"`
	Key  Key  `msgpack:"key"`
	// ClaimID identifies the claim that a claim record creates or an outcome record
	// refers to.
	ClaimID ID `msgpack:"claim"`

	// Fields of a claim record.
	Workspace     string `msgpack:"workspace,omitempty"`
	RequestDigest Digest `msgpack:"digest"`
	Instance      string `msgpack:"instance,omitempty"`
	Incarnation   string `msgpack:"incarnation,omitempty"`

	// Fields of an outcome record. The outcome NotRun releases the claim.
	Outcome request.Outcome `msgpack:"outcome,omitempty"`
	Result  Result          `msgpack:"result"`
}

// WithOutcome returns an outcome record for the claim of r.
func (r Record) WithOutcome(o request.Outcome, result Result) Record {
	return Record{Kind: KindOutcome, Key: r.Key, ClaimID: r.ClaimID, Outcome: o, Result: result}
}

// Result is the result of a call that ran.
type Result struct {
	// Output is nil if the output is not stored.
	Output []byte `msgpack:"output,omitempty"`
	// Digest and Length describe the whole output, whether it is stored or not.
	Digest Digest `msgpack:"digest"`
	Length int    `msgpack:"length,omitempty"`
}

// NewResult returns the result for an output, which it doesn't copy. An output
// larger than MaxStoredResultBytes is not stored.
func NewResult(output []byte) Result {
	r := Result{Output: output, Digest: sha256.Sum256(output), Length: len(output)}
	if len(output) > MaxStoredResultBytes {
		return r.WithoutOutput()
	}
	return r
}

// WithoutOutput returns the result with only its digest and length.
func (r Result) WithoutOutput() Result {
	r.Output = nil
	return r
}
