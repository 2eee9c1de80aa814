// Package codec encodes the records that the processes of the system write to the
// log and send to each other. A record is a msgpack map with field names in camel
// case. Decoding rejects unknown fields and trailing bytes.
package codec

import (
	"bytes"
	"errors"
	"io"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// ErrMalformed is returned for bytes that do not decode to the expected record
// type.
var ErrMalformed = errors.New("malformed record")

// Marshal encodes a record, a struct with msgpack tags.
func Marshal(record any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	enc.SetSortMapKeys(true)
	if err := enc.Encode(record); err != nil {
		return nil, eris.Wrap(err, "encode record")
	}
	return buf.Bytes(), nil
}

// MarshalAll encodes each record separately.
func MarshalAll[T any](records []T) ([][]byte, error) {
	all := make([][]byte, 0, len(records))
	for _, r := range records {
		data, err := Marshal(r)
		if err != nil {
			return nil, err
		}
		all = append(all, data)
	}
	return all, nil
}

// Unmarshal decodes data into record, which must be a pointer. It returns
// ErrMalformed if data is not a valid encoding of that type.
func Unmarshal(data []byte, record any) (err error) {
	r := bytes.NewReader(data)
	dec := msgpack.NewDecoder(r)
	dec.DisallowUnknownFields(true)
	if err := dec.Decode(record); err != nil {
		return eris.Wrap(ErrMalformed, err.Error())
	}
	if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
		return eris.Wrap(ErrMalformed, "trailing bytes")
	}
	return nil
}
