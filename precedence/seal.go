package precedence

import (
	"errors"
	"time"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

// ErrUnreadable is returned by Open for bytes that are not a sealed batch.
var ErrUnreadable = errors.New("not a sealed batch of decision records")

const (
	sealVersion = 1
	// maxDecompressedBytes bounds the memory that the decompression of a malicious
	// batch can use.
	maxDecompressedBytes = 64 << 20
)

// Sealer converts batches to and from the encoded, compressed form that is stored in the
// log. Its fields encode and decode the stored form; set them before use. A Sealer
// neither signs nor encrypts. Concurrent calls are safe.
type Sealer struct {
	Encode func(v any) ([]byte, error)
	Decode func(data []byte, v any) error
}

// sealedBatch is the stored form of a batch. It leaves out the fields of records that can
// be derived: instance, incarnation, sequence number and previous hash. Hashes can't be
// compressed and would double the size.
type sealedBatch struct {
	Version       int     `msgpack:"version"`
	Instance      string  `msgpack:"instance"`
	Incarnation   string  `msgpack:"incarnation"`
	FirstSequence uint64  `msgpack:"first"`
	PreviousHash  []byte  `msgpack:"previous"`
	Records       columns `msgpack:"records"`
	Head          []byte  `msgpack:"head"`
	PublicKey     []byte  `msgpack:"publicKey"`
	Signature     []byte  `msgpack:"signature"`
}

// columns holds the records column by column, because adjacent values of the same field
// compress well. Times are in microseconds: DecidedAt relative to the preceding record,
// the other times relative to DecidedAt.
type columns struct {
	Kind       []string `msgpack:"kind"`
	RequestID  []string `msgpack:"requestId"`
	Workspace  []string `msgpack:"workspace"`
	Target     []string `msgpack:"target"`
	RequestKey []string `msgpack:"key"`
	Class      []string `msgpack:"class"`
	Rank       []int64  `msgpack:"rank"`
	Stage      []string `msgpack:"stage"`
	Pool       []string `msgpack:"pool"`
	Server     []string `msgpack:"server"`
	Attempt    []uint64 `msgpack:"attempt"`
	DecidedAt  []int64  `msgpack:"at"`
	Arrival    []int64  `msgpack:"arrival"`
	Deadline   []int64  `msgpack:"deadline"`
	Revision   []uint64 `msgpack:"revision"`
	Reason     []string `msgpack:"reason"`
	Waiting    []int64  `msgpack:"waiting"`
	Outcome    []string `msgpack:"outcome"`
	LostCount  []uint64 `msgpack:"lost"`
}

// The compressor and decompressor are shared by all sealers. They are created at program
// start, because a channel that is created inside a synctest bubble can't be used outside
// of it.
var (
	compressor   = newCompressor()
	decompressor = newDecompressor()
)

func newCompressor() *zstd.Encoder {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(1<<20))
	if err != nil {
		panic("precedence: create compressor: " + err.Error())
	}
	// The encoder creates its channel at the first use.
	encoder.EncodeAll([]byte{0}, nil)
	return encoder
}

func newDecompressor() *zstd.Decoder {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecompressedBytes))
	if err != nil {
		panic("precedence: create decompressor: " + err.Error())
	}
	return decoder
}

// Seal encodes and compresses a batch.
func (s Sealer) Seal(batch Batch) ([]byte, error) {
	stored := sealedBatch{
		Version:       sealVersion,
		Instance:      batch.Instance,
		Incarnation:   batch.Incarnation,
		FirstSequence: batch.FirstSequence,
		Head:          batch.Head[:],
		PublicKey:     batch.PublicKey,
		Signature:     batch.Signature,
	}
	var previousMicros int64
	for i, r := range batch.Records {
		if i == 0 {
			stored.PreviousHash = r.PreviousHash[:]
		}
		stored.Records.add(r, previousMicros)
		previousMicros = r.DecidedAt.UnixMicro()
	}
	encoded, err := s.Encode(&stored)
	if err != nil {
		return nil, eris.Wrap(err, "encode batch")
	}
	return compressor.EncodeAll(encoded, nil), nil
}

// Open decodes a sealed batch and computes the derived fields of its records. It doesn't
// check hashes or the signature; Verify does. Its errors match ErrUnreadable.
func (s Sealer) Open(data []byte) (Batch, error) {
	encoded, err := decompressor.DecodeAll(data, nil)
	if err != nil {
		return Batch{}, eris.Wrapf(ErrUnreadable, "decompress: %v", err)
	}
	var stored sealedBatch
	if err := s.Decode(encoded, &stored); err != nil {
		return Batch{}, eris.Wrapf(ErrUnreadable, "decode: %v", err)
	}
	if stored.Version != sealVersion {
		return Batch{}, eris.Wrapf(ErrUnreadable, "unsupported version %d", stored.Version)
	}
	if len(stored.PreviousHash) != len(Hash{}) || len(stored.Head) != len(Hash{}) || !stored.Records.haveEqualLengths() {
		return Batch{}, eris.Wrap(ErrUnreadable, "a hash or column has the wrong length")
	}
	return stored.batch(), nil
}

func (s sealedBatch) batch() Batch {
	batch := Batch{
		Instance:      s.Instance,
		Incarnation:   s.Incarnation,
		FirstSequence: s.FirstSequence,
		Records:       make([]Record, 0, len(s.Records.Kind)),
		Head:          Hash(s.Head),
		PublicKey:     s.PublicKey,
		Signature:     s.Signature,
	}
	sequence, previous, micros := s.FirstSequence, Hash(s.PreviousHash), int64(0)
	for i := range s.Records.Kind {
		micros += s.Records.DecidedAt[i]
		record := s.Records.record(i, micros)
		if record.Kind == Gap && record.LostCount > 0 {
			sequence += record.LostCount - 1
		}
		record = record.WithChain(s.Instance, s.Incarnation, sequence, previous)
		batch.Records = append(batch.Records, record)
		sequence++
		previous = record.Hash()
	}
	return batch
}

// add appends a record; previousMicros is the time of the preceding record.
func (c *columns) add(record Record, previousMicros int64) {
	micros := record.DecidedAt.UnixMicro()
	c.Kind = append(c.Kind, string(record.Kind))
	c.RequestID = append(c.RequestID, record.RequestID)
	c.Workspace = append(c.Workspace, record.Workspace)
	c.Target = append(c.Target, record.Target)
	c.RequestKey = append(c.RequestKey, record.RequestKey)
	c.Class = append(c.Class, record.Class)
	c.Rank = append(c.Rank, int64(record.Rank))
	c.Stage = append(c.Stage, record.Stage)
	c.Pool = append(c.Pool, record.Pool)
	c.Server = append(c.Server, record.Server)
	c.Attempt = append(c.Attempt, uint64(record.Attempt))
	c.DecidedAt = append(c.DecidedAt, micros-previousMicros)
	c.Arrival = append(c.Arrival, record.Arrival.UnixMicro()-micros)
	c.Deadline = append(c.Deadline, record.Deadline.UnixMicro()-micros)
	c.Revision = append(c.Revision, record.Revision)
	c.Reason = append(c.Reason, record.Reason)
	c.Waiting = append(c.Waiting, int64(record.Waiting))
	c.Outcome = append(c.Outcome, record.Outcome)
	c.LostCount = append(c.LostCount, record.LostCount)
}

// record returns the record at an index, decided at a time in microseconds.
func (c *columns) record(index int, micros int64) Record {
	return Record{
		Kind:       Kind(c.Kind[index]),
		RequestID:  c.RequestID[index],
		Workspace:  c.Workspace[index],
		Target:     c.Target[index],
		RequestKey: c.RequestKey[index],
		Class:      c.Class[index],
		Rank:       int(c.Rank[index]),
		Stage:      c.Stage[index],
		Pool:       c.Pool[index],
		Server:     c.Server[index],
		Attempt:    uint32(c.Attempt[index]),
		DecidedAt:  time.UnixMicro(micros).UTC(),
		Arrival:    time.UnixMicro(micros + c.Arrival[index]).UTC(),
		Deadline:   time.UnixMicro(micros + c.Deadline[index]).UTC(),
		Revision:   c.Revision[index],
		Reason:     c.Reason[index],
		Waiting:    int(c.Waiting[index]),
		Outcome:    c.Outcome[index],
		LostCount:  c.LostCount[index],
	}
}

// haveEqualLengths reports whether all columns have the same length.
func (c *columns) haveEqualLengths() bool {
	length := len(c.Kind)
	for _, l := range []int{
		len(c.RequestID), len(c.Workspace), len(c.Target), len(c.RequestKey), len(c.Class), len(c.Rank), len(c.Stage),
		len(c.Pool), len(c.Server), len(c.Attempt), len(c.DecidedAt), len(c.Arrival), len(c.Deadline), len(c.Revision),
		len(c.Reason), len(c.Waiting), len(c.Outcome), len(c.LostCount),
	} {
		if l != length {
			return false
		}
	}
	return true
}
