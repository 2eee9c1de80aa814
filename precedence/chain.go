package precedence

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// The labels separate the domains of hashes and signatures: the hash of a record is
// never valid as the content of a batch signature, nor the other way round.
const (
	recordLabel = "lycheecrank precedence record 1"
	batchLabel  = "lycheecrank precedence batch 1"
)

// Hash returns the SHA-256 digest of the record's canonical encoding: a label
// and all fields in a fixed order, strings prefixed with their length, numbers
// in eight bytes, times as seconds and nanoseconds.
func (r Record) Hash() Hash {
	var buffer [768]byte
	encoded := appendText(buffer[:0], recordLabel)
	encoded = binary.BigEndian.AppendUint64(encoded, r.Sequence)
	encoded = appendText(encoded, r.Instance)
	encoded = appendText(encoded, r.Incarnation)
	encoded = appendText(encoded, string(r.Kind))
	encoded = appendText(encoded, r.RequestID)
	encoded = appendText(encoded, r.Workspace)
	encoded = appendText(encoded, r.Target)
	encoded = appendText(encoded, r.RequestKey)
	encoded = appendText(encoded, r.Class)
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(r.Rank))
	encoded = appendText(encoded, r.Stage)
	encoded = appendText(encoded, r.Pool)
	encoded = appendText(encoded, r.Server)
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(r.Attempt))
	encoded = appendTime(encoded, r.Arrival)
	encoded = appendTime(encoded, r.Deadline)
	encoded = appendTime(encoded, r.DecidedAt)
	encoded = binary.BigEndian.AppendUint64(encoded, r.Revision)
	encoded = appendText(encoded, r.Reason)
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(r.Waiting))
	encoded = appendText(encoded, r.Outcome)
	encoded = binary.BigEndian.AppendUint64(encoded, r.LostCount)
	encoded = append(encoded, r.PreviousHash[:]...)
	return sha256.Sum256(encoded)
}

func appendText(encoded []byte, text string) []byte {
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(len(text)))
	return append(encoded, text...)
}

func appendTime(encoded []byte, moment time.Time) []byte {
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(moment.Unix()))
	return binary.BigEndian.AppendUint64(encoded, uint64(moment.Nanosecond()))
}

// Batch is a sequence of consecutive records of one chain, the unit that is signed
// and appended to the log. It is an immutable value.
type Batch struct {
	Instance    string
	Incarnation string
	// FirstSequence is the first sequence number that the records cover; a gap
	// record covers those of all its lost records.
	FirstSequence uint64
	Records       []Record
	// Head is the hash of the last record.
	Head      Hash
	PublicKey ed25519.PublicKey
	// Signature covers all other fields, and the records by their number and by the hash
	// in Head.
	Signature []byte
}

// newBatch returns an unsigned batch of at least one record.
func newBatch(records []Record) Batch {
	first, last := records[0], records[len(records)-1]
	return Batch{
		Instance:      first.Instance,
		Incarnation:   first.Incarnation,
		FirstSequence: first.firstSequence(),
		Records:       records,
		Head:          last.Hash(),
	}
}

// WithSignature returns the batch signed with the key.
func (b Batch) WithSignature(key ed25519.PrivateKey) Batch {
	b.PublicKey = key.Public().(ed25519.PublicKey)
	b.Signature = ed25519.Sign(key, b.signedBytes())
	return b
}

// HasValidSignature reports whether the signature matches the batch's fields and
// its own public key. It doesn't check whom the key belongs to.
func (b Batch) HasValidSignature() bool {
	return len(b.PublicKey) == ed25519.PublicKeySize && ed25519.Verify(b.PublicKey, b.signedBytes(), b.Signature)
}

// signedBytes returns the bytes that the signature covers.
func (b Batch) signedBytes() []byte {
	message := appendText(nil, batchLabel)
	message = appendText(message, b.Instance)
	message = appendText(message, b.Incarnation)
	message = binary.BigEndian.AppendUint64(message, b.FirstSequence)
	message = binary.BigEndian.AppendUint64(message, uint64(len(b.Records)))
	message = append(message, b.Head[:]...)
	return append(message, b.PublicKey...)
}

// lastSequence returns the last sequence number that the records cover.
func (b Batch) lastSequence() uint64 {
	if len(b.Records) == 0 {
		return b.FirstSequence
	}
	return b.Records[len(b.Records)-1].Sequence
}
