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
// against a buffer that mixes two frames.
func TestFramesRoundTrip(t *testing.T) {
	is := is.New(t)
	var wire bytes.Buffer
	w := FrameWriter{Writer: &wire}
	sizes := []int{1, firstRead - 1, firstRead, firstRead + 1, 3 * firstRead, keptBuffer + 1, 1, 1 << 20, 5}
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

// Guards against a message that the other side refuses after it was written, and
// with it the connection of all other exchanges.
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

// Guards against a peer that fills the memory with declared lengths alone: of a
// frame, of bytes, of an array, of a map and of an extension.
func TestDeclaredLengthsAllocateNothing(t *testing.T) {
	const tries, limit = 100, 32 << 10
	huge := binary.BigEndian.AppendUint32(nil, 1<<31)
	inputs := map[string][]byte{
		"frame":     binary.BigEndian.AppendUint32(nil, MaxFrame),
		"bytes":     within("data", append([]byte{0xc6}, huge...)),
		"string":    within("type", append([]byte{0xdb}, huge...)),
		"array":     within("records", append([]byte{0xdd}, huge...)),
		"map":       append([]byte{0, 0, 0, 5, 0xdf}, huge...),
		"extension": within("appendedAt", append(append([]byte{0xc9}, huge...), 0xff)),
	}
	for name, input := range inputs {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for range tries {
				_, err := nextMessage(&FrameReader{Reader: bytes.NewReader(input)})
				is.True(err != nil)
			}
			runtime.ReadMemStats(&after)
			is.True(after.TotalAlloc-before.TotalAlloc < tries*limit)
		})
	}
}

// within returns the frame of a map with one entry.
func within(name string, value []byte) []byte {
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
