package precedence

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// The labels keep a hash or signature of one kind from passing for another.
const (
	recordLabel = "lycheecrank precedence record 1"
	batchLabel  = "lycheecrank precedence batch 1"
)

// Hash returns the SHA-256 digest of the record's canonical encoding: a label
// and all fields in a fixed order, strings with their length, numbers in eight
// bytes, times as seconds and nanoseconds.
func (r Record) Hash() Hash {
	var space [768]byte
	b := appendText(space[:0], recordLabel)
	b = binary.BigEndian.AppendUint64(b, r.Sequence)
	b = appendText(b, r.Instance)
	b = appendText(b, r.Incarnation)
	b = appendText(b, string(r.Kind))
	b = appendText(b, r.RequestID)
	b = appendText(b, r.Workspace)
	b = appendText(b, r.Target)
	b = appendText(b, r.Key)
	b = appendText(b, r.Class)
	b = binary.BigEndian.AppendUint64(b, uint64(r.Rank))
	b = appendText(b, r.Stage)
	b = appendText(b, r.Pool)
	b = appendText(b, r.Server)
	b = binary.BigEndian.AppendUint64(b, uint64(r.Attempt))
	b = appendTime(b, r.Arrival)
	b = appendTime(b, r.Deadline)
	b = appendTime(b, r.At)
	b = binary.BigEndian.AppendUint64(b, r.Revision)
	b = appendText(b, r.Reason)
	b = binary.BigEndian.AppendUint64(b, uint64(r.Waiting))
	b = appendText(b, r.Outcome)
	b = binary.BigEndian.AppendUint64(b, r.Lost)
	b = append(b, r.Previous[:]...)
	return sha256.Sum256(b)
}

func appendText(b []byte, s string) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(len(s)))
	return append(b, s...)
}

func appendTime(b []byte, t time.Time) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(t.Unix()))
	return binary.BigEndian.AppendUint64(b, uint64(t.Nanosecond()))
}

// Batch is a run of records of one chain as it stands in the log. It is an
// immutable value.
type Batch struct {
	Instance    string
	Incarnation string
	// First is the first sequence number that the records stand for.
	First   uint64
	Records []Record
	// Head is the hash of the last record.
	Head      Hash
	PublicKey ed25519.PublicKey
	// Signature covers all other fields; the records through Head.
	Signature []byte
}

// newBatch returns an unsigned batch of at least one record.
func newBatch(records []Record) Batch {
	first, last := records[0], records[len(records)-1]
	return Batch{
		Instance:    first.Instance,
		Incarnation: first.Incarnation,
		First:       first.first(),
		Records:     records,
		Head:        last.Hash(),
	}
}

// WithSignature returns the batch signed with a key.
func (b Batch) WithSignature(key ed25519.PrivateKey) Batch {
	b.PublicKey = key.Public().(ed25519.PublicKey)
	b.Signature = ed25519.Sign(key, b.signed())
	return b
}

// SignatureValid reports whether the signature belongs to the batch's own key
// and fields. It says nothing about whose key that is.
func (b Batch) SignatureValid() bool {
	return len(b.PublicKey) == ed25519.PublicKeySize && ed25519.Verify(b.PublicKey, b.signed(), b.Signature)
}

// signed returns the bytes that the signature covers.
func (b Batch) signed() []byte {
	m := appendText(nil, batchLabel)
	m = appendText(m, b.Instance)
	m = appendText(m, b.Incarnation)
	m = binary.BigEndian.AppendUint64(m, b.First)
	m = binary.BigEndian.AppendUint64(m, uint64(len(b.Records)))
	m = append(m, b.Head[:]...)
	return append(m, b.PublicKey...)
}

// last returns the last sequence number that the records stand for.
func (b Batch) last() uint64 {
	if len(b.Records) == 0 {
		return b.First
	}
	return b.Records[len(b.Records)-1].Sequence
}
