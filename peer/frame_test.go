package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"runtime"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// Guards against frames that lose or gain bytes when they arrive in parts, and
// against a reused buffer that mixes two frames.
func TestFramesRoundTrip(t *testing.T) {
	is := is.New(t)
	var wire bytes.Buffer
	w := FrameWriter{Writer: &wire}
	sizes := []int{1, initialBuffer - 1, initialBuffer, initialBuffer + 1, 3 * initialBuffer, maxRetainedBuffer + 1, 1, 1 << 20, 5}
	for i, size := range sizes {
		is.NoErr(w.Write(bytes.Repeat([]byte{byte('a' + i)}, size)))
	}
	r := FrameReader{Reader: iotest.HalfReader(&wire)}
	for i, size := range sizes {
		data, err := r.Next()
		is.NoErr(err)
		is.True(bytes.Equal(data, bytes.Repeat([]byte{byte('a' + i)}, size)))
	}
	_, err := r.Next()
	is.Equal(err, io.EOF)
}

// Guards against a frame that is written although the reader rejects it, which
// would break the connection and all its exchanges.
func TestWriterRefusesWhatReadersRefuse(t *testing.T) {
	is := is.New(t)
	var wire bytes.Buffer
	w := FrameWriter{Writer: &wire}
	is.True(errors.Is(w.Write(nil), ErrFrameEmpty))
	is.True(errors.Is(w.Write(make([]byte, MaxFrame+1)), ErrFrameTooLarge))
	is.Equal(wire.Len(), 0)
	is.NoErr(w.Write(make([]byte, MaxFrame)))
	r := FrameReader{Reader: &wire}
	data, err := r.Next()
	is.NoErr(err)
	is.Equal(len(data), MaxFrame)
}

// Guards against a peer that exhausts the memory with declared lengths alone: of
// a frame, a byte string, a string, an array, a map and an extension.
func TestDeclaredLengthsAllocateNothing(t *testing.T) {
	const attempts, limit = 100, 32 << 10
	huge := binary.BigEndian.AppendUint32(nil, 1<<31)
	inputs := map[string][]byte{
		"frame":     binary.BigEndian.AppendUint32(nil, MaxFrame),
		"bytes":     frameOfMap("data", append([]byte{0xc6}, huge...)),
		"string":    frameOfMap("type", append([]byte{0xdb}, huge...)),
		"array":     frameOfMap("records", append([]byte{0xdd}, huge...)),
		"map":       append([]byte{0, 0, 0, 5, 0xdf}, huge...),
		"extension": frameOfMap("appendedAt", append(append([]byte{0xc9}, huge...), 0xff)),
	}
	for name, input := range inputs {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for range attempts {
				_, err := nextMessage(&FrameReader{Reader: bytes.NewReader(input)})
				is.True(err != nil)
			}
			runtime.ReadMemStats(&after)
			is.True(after.TotalAlloc-before.TotalAlloc < attempts*limit)
		})
	}
}

// frameOfMap returns a frame with a map of one entry.
func frameOfMap(name string, value []byte) []byte {
	body := append([]byte{0x81, 0xa0 | byte(len(name))}, name...)
	body = append(body, value...)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

func nextMessage(r *FrameReader) (message, error) {
	data, err := r.Next()
	if err != nil {
		return message{}, err
	}
	return decodeMessage(data)
}

// Guards against a buffer that is allocated before its memory is counted, or that stays
// counted after its release.
func TestBuffersAreReserved(t *testing.T) {
	is := is.New(t)
	var wire bytes.Buffer
	w := FrameWriter{Writer: &wire}
	for _, size := range []int{maxRetainedBuffer, 1 << 20, 5, 4 << 20, 2 << 20, 1} {
		is.NoErr(w.Write(make([]byte, size)))
	}
	short := errors.New("memory is short")
	reserved, largest := int64(0), int64(0)
	r := FrameReader{Reader: &wire, Reserve: func(n int64) error {
		reserved += n
		largest = max(largest, reserved)
		return nil
	}}
	for range 6 {
		_, err := r.Next()
		is.NoErr(err)
	}
	is.Equal(reserved, int64(0))
	is.Equal(largest, int64(4<<20-maxRetainedBuffer))
	is.NoErr(w.Write(make([]byte, 1<<20)))
	r.Reserve = func(int64) error { return short }
	_, err := r.Next()
	is.True(errors.Is(err, short))
	is.True(wire.Len() > 1<<19) // the rest is not read
}

// Guards against a connection that stays counted with the buffer of its last message while it
// waits for the next one, and is then shed for clients that wait for memory.
func TestNoLargeBufferBetweenFrames(t *testing.T) {
	is := is.New(t)
	var wire bytes.Buffer
	is.NoErr((&FrameWriter{Writer: &wire}).Write(make([]byte, 1<<20)))
	reserved := int64(0)
	r := FrameReader{Reader: &wire, Reserve: func(n int64) error {
		reserved += n
		return nil
	}}
	_, err := r.Next()
	is.NoErr(err)
	is.True(reserved > 0) // the message is valid until the next call
	_, err = r.Next()
	is.Equal(err, io.EOF)
	is.Equal(reserved, int64(0))
}

// Guards against a sender that isn't known yet and sends a large message.
func TestFirstMessageIsSmall(t *testing.T) {
	is := is.New(t)
	var wire bytes.Buffer
	w := FrameWriter{Writer: &wire}
	is.NoErr(w.Write(make([]byte, maxHelloBytes+1)))
	r := FrameReader{Reader: &wire, Limit: maxHelloBytes}
	_, err := r.Next()
	is.True(errors.Is(err, ErrFrameTooLarge))
}
