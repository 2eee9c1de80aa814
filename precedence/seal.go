package precedence

import (
	"errors"
	"time"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

// ErrUnreadable is returned by Open for bytes that are no sealed batch.
var ErrUnreadable = errors.New("no sealed batch of decision records")

const (
	sealVersion = 1
	// maxOpenBytes bounds the memory that a hostile batch can take up when it is
	// decompressed.
	maxOpenBytes = 64 << 20
)

// Sealer turns batches into the form that the log holds and back. Its fields
// are the encoding; set them before use. Concurrent calls are safe.
type Sealer struct {
	Encode func(v any) ([]byte, error)
	Decode func(data []byte, v any) error
}

// sealed is a batch in the log. What follows from the rest is left out: the
// names, sequence numbers and previous hashes of the single records. Hashes
// can't be compressed and would double the size.
type sealed struct {
	Version     int     `msgpack:"version"`
	Instance    string  `msgpack:"instance"`
	Incarnation string  `msgpack:"incarnation"`
	First       uint64  `msgpack:"first"`
	Previous    []byte  `msgpack:"previous"`
	Records     columns `msgpack:"records"`
	Head        []byte  `msgpack:"head"`
	PublicKey   []byte  `msgpack:"publicKey"`
	Signature   []byte  `msgpack:"signature"`
}

// columns holds the fields of all records, field by field, since values of one
// field compress well next to each other. Times are microseconds: At since the
// record before, the others relative to At.
type columns struct {
	Kind      []string `msgpack:"kind"`
	RequestID []string `msgpack:"requestId"`
	Workspace []string `msgpack:"workspace"`
	Target    []string `msgpack:"target"`
	Key       []string `msgpack:"key"`
	Class     []string `msgpack:"class"`
	Rank      []int64  `msgpack:"rank"`
	Stage     []string `msgpack:"stage"`
	Pool      []string `msgpack:"pool"`
	Server    []string `msgpack:"server"`
	Attempt   []uint64 `msgpack:"attempt"`
	At        []int64  `msgpack:"at"`
	Arrival   []int64  `msgpack:"arrival"`
	Deadline  []int64  `msgpack:"deadline"`
	Revision  []uint64 `msgpack:"revision"`
	Reason    []string `msgpack:"reason"`
	Waiting   []int64  `msgpack:"waiting"`
	Outcome   []string `msgpack:"outcome"`
	Lost      []uint64 `msgpack:"lost"`
}

// The encoder and decoder are shared by all sealers. They are made at the start
// of the program, because a channel inside them that is made inside a synctest
// bubble can't be used outside it.
var (
	compressor   = newCompressor()
	decompressor = newDecompressor()
)

func newCompressor() *zstd.Encoder {
	z, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(1<<20))
	if err != nil {
		panic("precedence: options of the compressor: " + err.Error())
	}
	// The encoder makes its channel at the first use.
	z.EncodeAll([]byte{0}, nil)
	return z
}

func newDecompressor() *zstd.Decoder {
	z, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxOpenBytes))
	if err != nil {
		panic("precedence: options of the decompressor: " + err.Error())
	}
	return z
}

// Seal encodes and compresses a batch.
func (s Sealer) Seal(b Batch) ([]byte, error) {
	w := sealed{
		Version:     sealVersion,
		Instance:    b.Instance,
		Incarnation: b.Incarnation,
		First:       b.First,
		Head:        b.Head[:],
		PublicKey:   b.PublicKey,
		Signature:   b.Signature,
	}
	var before int64
	for i, r := range b.Records {
		if i == 0 {
			w.Previous = r.Previous[:]
		}
		w.Records.add(r, before)
		before = r.At.UnixMicro()
	}
	encoded, err := s.Encode(&w)
	if err != nil {
		return nil, eris.Wrap(err, "seal batch")
	}
	return compressor.EncodeAll(encoded, nil), nil
}

// Open returns a sealed batch, with the chain of its records computed. It does
// not check hashes or the signature; Verify does. The error matches
// ErrUnreadable.
func (s Sealer) Open(data []byte) (Batch, error) {
	encoded, err := decompressor.DecodeAll(data, nil)
	if err != nil {
		return Batch{}, eris.Wrapf(ErrUnreadable, "decompress: %v", err)
	}
	var w sealed
	if err := s.Decode(encoded, &w); err != nil {
		return Batch{}, eris.Wrapf(ErrUnreadable, "decode: %v", err)
	}
	if w.Version != sealVersion {
		return Batch{}, eris.Wrapf(ErrUnreadable, "version %d", w.Version)
	}
	if len(w.Previous) != len(Hash{}) || len(w.Head) != len(Hash{}) || !w.Records.even() {
		return Batch{}, eris.Wrap(ErrUnreadable, "fields of wrong length")
	}
	return w.batch(), nil
}

func (w sealed) batch() Batch {
	b := Batch{
		Instance:    w.Instance,
		Incarnation: w.Incarnation,
		First:       w.First,
		Records:     make([]Record, 0, len(w.Records.Kind)),
		Head:        Hash(w.Head),
		PublicKey:   w.PublicKey,
		Signature:   w.Signature,
	}
	sequence, previous, at := w.First, Hash(w.Previous), int64(0)
	for i := range w.Records.Kind {
		at += w.Records.At[i]
		r := w.Records.record(i, at)
		if r.Kind == Gap && r.Lost > 0 {
			sequence += r.Lost - 1
		}
		r = r.WithChain(w.Instance, w.Incarnation, sequence, previous)
		b.Records = append(b.Records, r)
		sequence++
		previous = r.Hash()
	}
	return b
}

func (c *columns) add(r Record, before int64) {
	at := r.At.UnixMicro()
	c.Kind = append(c.Kind, string(r.Kind))
	c.RequestID = append(c.RequestID, r.RequestID)
	c.Workspace = append(c.Workspace, r.Workspace)
	c.Target = append(c.Target, r.Target)
	c.Key = append(c.Key, r.Key)
	c.Class = append(c.Class, r.Class)
	c.Rank = append(c.Rank, int64(r.Rank))
	c.Stage = append(c.Stage, r.Stage)
	c.Pool = append(c.Pool, r.Pool)
	c.Server = append(c.Server, r.Server)
	c.Attempt = append(c.Attempt, uint64(r.Attempt))
	c.At = append(c.At, at-before)
	c.Arrival = append(c.Arrival, r.Arrival.UnixMicro()-at)
	c.Deadline = append(c.Deadline, r.Deadline.UnixMicro()-at)
	c.Revision = append(c.Revision, r.Revision)
	c.Reason = append(c.Reason, r.Reason)
	c.Waiting = append(c.Waiting, int64(r.Waiting))
	c.Outcome = append(c.Outcome, r.Outcome)
	c.Lost = append(c.Lost, r.Lost)
}

func (c *columns) record(i int, at int64) Record {
	return Record{
		Kind:      Kind(c.Kind[i]),
		RequestID: c.RequestID[i],
		Workspace: c.Workspace[i],
		Target:    c.Target[i],
		Key:       c.Key[i],
		Class:     c.Class[i],
		Rank:      int(c.Rank[i]),
		Stage:     c.Stage[i],
		Pool:      c.Pool[i],
		Server:    c.Server[i],
		Attempt:   uint32(c.Attempt[i]),
		At:        time.UnixMicro(at).UTC(),
		Arrival:   time.UnixMicro(at + c.Arrival[i]).UTC(),
		Deadline:  time.UnixMicro(at + c.Deadline[i]).UTC(),
		Revision:  c.Revision[i],
		Reason:    c.Reason[i],
		Waiting:   int(c.Waiting[i]),
		Outcome:   c.Outcome[i],
		Lost:      c.Lost[i],
	}
}

// even reports whether all columns have the same length.
func (c *columns) even() bool {
	n := len(c.Kind)
	for _, m := range []int{
		len(c.RequestID), len(c.Workspace), len(c.Target), len(c.Key), len(c.Class), len(c.Rank), len(c.Stage),
		len(c.Pool), len(c.Server), len(c.Attempt), len(c.At), len(c.Arrival), len(c.Deadline), len(c.Revision),
		len(c.Reason), len(c.Waiting), len(c.Outcome), len(c.Lost),
	} {
		if m != n {
			return false
		}
	}
	return true
}
