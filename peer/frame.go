package peer

import (
	"encoding/binary"
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

// MaxFrame is the largest message of a frame in bytes.
const MaxFrame = 8 << 20

const (
	headerBytes = 4
	// firstRead bounds what is allocated before any byte of a message arrived.
	firstRead = 4 << 10
	// keptBuffer is the largest buffer kept between frames, so that one large
	// message does not hold memory for the life of a connection.
	keptBuffer = 64 << 10
)

// Sentinel errors of frames and messages.
var (
	// ErrFrameEmpty: a frame declares no bytes.
	ErrFrameEmpty = errors.New("empty frame")
	// ErrFrameTooLarge: a message is larger than MaxFrame.
	ErrFrameTooLarge = errors.New("frame too large")
	// ErrFrameTruncated: the connection ended inside a frame.
	ErrFrameTruncated = errors.New("truncated frame")
	// ErrMessageMalformed: the bytes of a frame are no message.
	ErrMessageMalformed = errors.New("malformed message")
	// ErrMessageUnknown: the type of a message is unknown.
	ErrMessageUnknown = errors.New("unknown message type")
	// ErrMessageUnexpected: a message is not allowed at this point.
	ErrMessageUnexpected = errors.New("unexpected message")
)

// refusals names the counter of each reason to refuse a frame.
var refusals = []struct {
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

// refusal returns the counter of a refused frame; false for other errors.
func refusal(err error) (string, bool) {
	for _, r := range refusals {
		if errors.Is(err, r.err) {
			return r.counter, true
		}
	}
	return "", false
}

// FrameReader reads frames: a 4-byte big-endian length and that many bytes.
// Concurrent calls are not safe.
type FrameReader struct {
	// Reader is the source, set before the first Next.
	Reader io.Reader
	buffer []byte
}

// Next returns the bytes of the next frame, which are valid until the following
// call. It returns io.EOF at the end of the source between two frames,
// ErrFrameTruncated for an end inside a frame, and ErrFrameEmpty or
// ErrFrameTooLarge without reading further. The buffer grows only as bytes
// arrive, so that a declared length alone allocates nothing.
func (f *FrameReader) Next() ([]byte, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(f.Reader, header[:]); err != nil {
		return nil, asTruncated(err)
	}
	size := int64(binary.BigEndian.Uint32(header[:]))
	switch {
	case size == 0:
		return nil, ErrFrameEmpty
	case size > MaxFrame:
		return nil, eris.Wrapf(ErrFrameTooLarge, "%d bytes", size)
	}
	return f.body(int(size))
}

func (f *FrameReader) body(size int) ([]byte, error) {
	if cap(f.buffer) > keptBuffer || cap(f.buffer) < firstRead {
		f.buffer = make([]byte, firstRead)
	}
	f.buffer = f.buffer[:cap(f.buffer)]
	read := 0
	for read < size {
		if read == len(f.buffer) {
			grown := make([]byte, min(size, 2*len(f.buffer)))
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

func asTruncated(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrFrameTruncated
	}
	return err
}

// FrameWriter writes frames. Concurrent calls are not safe.
type FrameWriter struct {
	// Writer is the destination, set before the first Write.
	Writer io.Writer
}

// Write writes a message as a frame. It returns ErrFrameEmpty or
// ErrFrameTooLarge before anything is written.
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
