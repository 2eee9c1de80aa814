package claim

import (
	"time"

	"github.com/google/uuid"

	"lycheecrank.example/request"
)

// Key is the UUIDv7 idempotency key of a call that may run at most once.
type Key [16]byte

// ParseKey parses a UUIDv7 in canonical form with hyphens. Its error is a
// request.Failure with ReasonKeyMalformed.
func ParseKey(text string) (Key, error) {
	const canonicalLength = 36 // uuid.Parse also accepts other notations
	u, err := uuid.Parse(text)
	if err != nil || len(text) != canonicalLength {
		return Key{}, request.Refuse(request.ReasonKeyMalformed, "the key is not a UUID in canonical form")
	}
	if u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return Key{}, request.Refuse(request.ReasonKeyMalformed, "the key is not a UUIDv7")
	}
	return Key(u), nil
}

// Time returns the timestamp of the key, which has millisecond resolution.
func (k Key) Time() time.Time {
	var ms int64
	for _, b := range k[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}

// String returns the key in canonical form.
func (k Key) String() string { return uuid.UUID(k).String() }

// ID is the unique identifier of a claim.
type ID [16]byte

// NewID returns a random identifier.
func NewID() ID { return ID(uuid.New()) }

// String returns the identifier in canonical form.
func (i ID) String() string { return uuid.UUID(i).String() }
