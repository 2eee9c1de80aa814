package peer

import (
	"encoding/binary"
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

// MaxFrame is the maximum size of the message in a frame, in bytes.
const MaxFrame = 8 << 20

const (
	headerBytes = 4
	// initialBuffer bounds the memory allocated before any byte of a message has
	// arrived.
	initialBuffer = 4 << 10
	// maxRetainedBuffer is the largest buffer kept between frames, so that one large
	// message does not occupy memory for the lifetime of a connection.
	maxRetainedBuffer = 64 << 10
)

// Sentinel errors of frames and messages.
var (
	// ErrFrameEmpty: a frame declares a length of 0.
	ErrFrameEmpty = errors.New("empty frame")
	// ErrFrameTooLarge: a message is larger than MaxFrame.
	ErrFrameTooLarge = errors.New("frame too large")
	// ErrFrameTruncated: the connection ended inside a frame.
	ErrFrameTruncated = errors.New("truncated frame")
	// ErrMessageMalformed: the bytes of a frame are not a valid message.
	ErrMessageMalformed = errors.New("malformed message")
	// ErrMessageUnknown: the type of a message is unknown.
	ErrMessageUnknown = errors.New("unknown message type")
	// ErrMessageUnexpected: a message is not allowed in the current state of the
	// protocol.
	ErrMessageUnexpected = errors.New("unexpected message")
)

// frameErrorCounters maps each error that rejects a frame to the name of its
// counter.
var frameErrorCounters = []struct {
	err     error
	counter string
}{
	{ErrFrameEmpty, "frameEmpty"},
	{ErrFrameTooLarge, "frameTooLarge"},
	{ErrFrameTruncated, "frameTruncated"},
	{ErrMessageMalformed, "messageMalformed"},
	{ErrMessageUnknown, "messageUnknown"},
	{ErrMessageUnexpected, "messageUnexpected"},
}

// frameErrorCounter returns the counter of an error that rejects a frame, and
// false for other errors.
func frameErrorCounter(err error) (string, bool) {
	for _, r := range frameErrorCounters {
		if errors.Is(err, r.err) {
			return r.counter, true
		}
	}
	return "", false
}

// FrameReader reads frames: a 4-byte big-endian length followed by that many
// bytes. It is not safe for concurrent use.
type FrameReader struct {
	// Reader is the source. Set it before the first call of Next.
	Reader io.Reader
	// Limit is the largest message if it is not 0; it is at most MaxFrame.
	Limit int64
	// Reserve is called with the growth of the buffer before it grows beyond
	// maxRetainedBuffer, and with the negative size when such a buffer is released. Its
	// error ends the reading. It may be nil.
	Reserve func(bytes int64) error
	buffer  []byte
}

// Next returns the bytes of the next frame, which are valid until the next call.
// It returns io.EOF if the source ends between two frames, ErrFrameTruncated if
// it ends inside a frame, and ErrFrameEmpty or ErrFrameTooLarge without reading
// further. The buffer grows only as bytes arrive, so a declared length alone
// allocates no memory.
func (f *FrameReader) Next() ([]byte, error) {
	if cap(f.buffer) > maxRetainedBuffer {
		// The connection may be idle for a long time before the next frame.
		if err := f.reserve(len(f.buffer), 0); err != nil {
			return nil, err
		}
		f.buffer = nil
	}
	var header [headerBytes]byte
	if _, err := io.ReadFull(f.Reader, header[:]); err != nil {
		return nil, asTruncated(err)
	}
	size := int64(binary.BigEndian.Uint32(header[:]))
	switch {
	case size == 0:
		return nil, ErrFrameEmpty
	case size > MaxFrame, f.Limit > 0 && size > f.Limit:
		return nil, eris.Wrapf(ErrFrameTooLarge, "%d bytes", size)
	}
	return f.readBody(int(size))
}

func (f *FrameReader) readBody(size int) ([]byte, error) {
	if cap(f.buffer) < initialBuffer {
		f.buffer = make([]byte, initialBuffer)
	}
	f.buffer = f.buffer[:cap(f.buffer)]
	read := 0
	for read < size {
		if read == len(f.buffer) {
			next := min(size, 2*len(f.buffer))
			if err := f.reserve(len(f.buffer), next); err != nil {
				return nil, err
			}
			grown := make([]byte, next)
			copy(grown, f.buffer)
			f.buffer = grown
		}
		n, err := io.ReadFull(f.Reader, f.buffer[read:min(size, len(f.buffer))])
		read += n
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, asTruncated(err)
		}
	}
	return f.buffer[:size], nil
}

// reserve accounts for a buffer that replaces another one.
func (f *FrameReader) reserve(from, to int) error {
	if f.Reserve == nil {
		return nil
	}
	counted := func(size int) int64 { return int64(max(0, size-maxRetainedBuffer)) }
	if change := counted(to) - counted(from); change != 0 {
		return f.Reserve(change)
	}
	return nil
}

func asTruncated(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrFrameTruncated
	}
	return err
}

// FrameWriter writes frames. It is not safe for concurrent use.
type FrameWriter struct {
	// Writer is the destination. Set it before the first call of Write.
	Writer io.Writer
}

// Write writes a message as one frame. It returns ErrFrameEmpty or
// ErrFrameTooLarge before writing anything.
func (f *FrameWriter) Write(message []byte) error {
	if err := checkSize(message); err != nil {
		return err
	}
	var header [headerBytes]byte
	binary.BigEndian.PutUint32(header[:], uint32(len(message)))
	if _, err := f.Writer.Write(header[:]); err != nil {
		return eris.Wrap(err, "write frame")
	}
	if _, err := f.Writer.Write(message); err != nil {
		return eris.Wrap(err, "write frame")
	}
	return nil
}

func checkSize(message []byte) error {
	switch {
	case len(message) == 0:
		return ErrFrameEmpty
	case len(message) > MaxFrame:
		return eris.Wrapf(ErrFrameTooLarge, "%d bytes", len(message))
	}
	return nil
}
