package claim

import (
	"time"

	"github.com/google/uuid"

	"lycheecrank.example/request"
)

// Key is a UUIDv7 by which a caller names a call that may not be repeated.
type Key [16]byte

// ParseKey reads a UUIDv7 in its usual form with hyphens. Its error is a
// request.Failure with ReasonKeyMalformed.
func ParseKey(text string) (Key, error) {
	const canonicalLength = 36 // uuid.Parse takes other notations too
	u, err := uuid.Parse(text)
	if err != nil || len(text) != canonicalLength {
		return Key{}, request.Refuse(request.ReasonKeyMalformed, "the key is no UUID")
	}
	if u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return Key{}, request.Refuse(request.ReasonKeyMalformed, "the key is no UUID of version 7")
	}
	return Key(u), nil
}

// Time returns the time in the key, in whole milliseconds.
func (k Key) Time() time.Time {
	var ms int64
	for _, b := range k[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}

// String returns the key in its usual form.
func (k Key) String() string { return uuid.UUID(k).String() }

// ID identifies one claim.
type ID [16]byte

// NewID returns a random identifier.
func NewID() ID { return ID(uuid.New()) }

// String returns the identifier in its usual form.
func (i ID) String() string { return uuid.UUID(i).String() }
