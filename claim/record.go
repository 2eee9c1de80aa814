package claim

import (
	"crypto/sha256"

	"lycheecrank.example/request"
)

// Kind tells the kinds of records apart. Records of an unknown kind are passed
// over.
type Kind int

// The kinds of records.
const (
	KindClaim Kind = iota + 1
	KindOutcome
)

// Digest is a SHA-256 digest.
type Digest [sha256.Size]byte

// Record is a record of a claim stream. The zero Record stands for a record
// that could not be decoded; it changes nothing.
type Record struct {
	Kind Kind `msgpack:"kind"`
	Key  Key  `msgpack:"key"`
	// Claim identifies the claim, in both kinds of records.
	Claim ID `msgpack:"claim"`

	// The fields of a claim. Digest is that of the request.
	Workspace   string `msgpack:"workspace,omitempty"`
	Digest      Digest `msgpack:"digest"`
	Instance    string `msgpack:"instance,omitempty"`
	Incarnation string `msgpack:"incarnation,omitempty"`

	// The fields of an outcome. NotRun gives the claim back.
	Outcome request.Outcome `msgpack:"outcome,omitempty"`
	Result  Result          `msgpack:"result"`
}

// WithOutcome returns the record of an outcome for the claim of a record.
func (r Record) WithOutcome(o request.Outcome, result Result) Record {
	return Record{Kind: KindOutcome, Key: r.Key, Claim: r.Claim, Outcome: o, Result: result}
}

// Result is the result of a call that ran.
type Result struct {
	// Output is nil if the output was not kept.
	Output []byte `msgpack:"output,omitempty"`
	// Digest and Length describe the whole output.
	Digest Digest `msgpack:"digest"`
	Length int    `msgpack:"length,omitempty"`
}

// NewResult returns the result for an output, which it doesn't copy. An output
// above MaxStoredResult is not kept.
func NewResult(output []byte) Result {
	r := Result{Output: output, Digest: sha256.Sum256(output), Length: len(output)}
	if len(output) > MaxStoredResult {
		return r.WithoutOutput()
	}
	return r
}

// WithoutOutput returns the result with digest and length only.
func (r Result) WithoutOutput() Result {
	r.Output = nil
	return r
}
