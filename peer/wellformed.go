package peer

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

const (
	// maxElements bounds the elements of an array or map. A decoded element can be
	// about 60 times larger than its single byte in the message.
	maxElements = 4096
	// maxDepth bounds the nesting. Messages of this package need 5 levels.
	maxDepth = 8
)

// checkWellFormed returns an error unless the data is exactly one msgpack value
// whose declared lengths do not exceed the data. Decoding such a value allocates
// memory in proportion to its size.
func checkWellFormed(data []byte) error {
	rest, err := skipValue(data, 0)
	if err != nil {
		return err
	}
	if len(rest) != 0 {
		return eris.Wrap(ErrMessageMalformed, "trailing bytes")
	}
	return nil
}

func skipValue(data []byte, depth int) ([]byte, error) {
	if len(data) == 0 || depth > maxDepth {
		return nil, eris.Wrap(ErrMessageMalformed, "truncated or nested too deeply")
	}
	c, data := data[0], data[1:]
	switch {
	case msgpcode.IsFixedNum(c):
		return data, nil
	case msgpcode.IsFixedMap(c):
		return skipValues(data, 2*uint64(c&msgpcode.FixedMapMask), depth)
	case msgpcode.IsFixedArray(c):
		return skipValues(data, uint64(c&msgpcode.FixedArrayMask), depth)
	case msgpcode.IsFixedString(c):
		return skipBytes(data, uint64(c&msgpcode.FixedStrMask))
	}
	return skipPrefixed(c, data, depth)
}

// skipPrefixed skips a value whose code is followed by a size or a fixed number
// of bytes.
func skipPrefixed(c byte, data []byte, depth int) ([]byte, error) {
	switch c {
	case msgpcode.Nil, msgpcode.False, msgpcode.True:
		return data, nil
	case msgpcode.Uint8, msgpcode.Int8:
		return skipBytes(data, 1)
	case msgpcode.Uint16, msgpcode.Int16, msgpcode.FixExt1:
		return skipBytes(data, 2)
	case msgpcode.FixExt2:
		return skipBytes(data, 3)
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return skipBytes(data, 4)
	case msgpcode.FixExt4:
		return skipBytes(data, 5)
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return skipBytes(data, 8)
	case msgpcode.FixExt8:
		return skipBytes(data, 9)
	case msgpcode.FixExt16:
		return skipBytes(data, 17)
	case msgpcode.Str8, msgpcode.Bin8:
		return skipSized(data, 1, 0)
	case msgpcode.Str16, msgpcode.Bin16:
		return skipSized(data, 2, 0)
	case msgpcode.Str32, msgpcode.Bin32:
		return skipSized(data, 4, 0)
	case msgpcode.Ext8:
		return skipSized(data, 1, 1)
	case msgpcode.Ext16:
		return skipSized(data, 2, 1)
	case msgpcode.Ext32:
		return skipSized(data, 4, 1)
	case msgpcode.Array16:
		return skipElements(data, 2, 1, depth)
	case msgpcode.Array32:
		return skipElements(data, 4, 1, depth)
	case msgpcode.Map16:
		return skipElements(data, 2, 2, depth)
	case msgpcode.Map32:
		return skipElements(data, 4, 2, depth)
	}
	return nil, eris.Wrapf(ErrMessageMalformed, "unsupported msgpack code %#x", c)
}

func skipSized(data []byte, width int, extra uint64) ([]byte, error) {
	size, data, err := readSize(data, width)
	if err != nil {
		return nil, err
	}
	return skipBytes(data, size+extra)
}

func skipElements(data []byte, width int, values uint64, depth int) ([]byte, error) {
	size, data, err := readSize(data, width)
	if err != nil {
		return nil, err
	}
	if size > maxElements {
		return nil, eris.Wrap(ErrMessageMalformed, "too many elements in an array or map")
	}
	return skipValues(data, size*values, depth)
}

func readSize(data []byte, width int) (uint64, []byte, error) {
	if len(data) < width {
		return 0, nil, eris.Wrap(ErrMessageMalformed, "truncated value")
	}
	switch width {
	case 1:
		return uint64(data[0]), data[1:], nil
	case 2:
		return uint64(binary.BigEndian.Uint16(data)), data[2:], nil
	}
	return uint64(binary.BigEndian.Uint32(data)), data[4:], nil
}

func skipBytes(data []byte, n uint64) ([]byte, error) {
	if n > uint64(len(data)) {
		return nil, eris.Wrap(ErrMessageMalformed, "truncated value")
	}
	return data[n:], nil
}

func skipValues(data []byte, n uint64, depth int) ([]byte, error) {
	var err error
	for range n {
		if data, err = skipValue(data, depth+1); err != nil {
			return nil, err
		}
	}
	return data, nil
}
