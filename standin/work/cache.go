package work

import (
	"crypto/sha256"
	"time"
)

// prefixLength is how much of a prompt the cache keys on, in bytes.
const prefixLength = 64

// CacheEvent is a change of the prefix cache.
type CacheEvent struct {
	// Number counts from 1.
	Number  uint64
	Digest  []byte
	Evicted bool
	At      time.Time
}

// Prefix returns the part of a prompt that is cached, and its SHA-256 digest.
func Prefix(prompt []byte) (prefix, digest []byte) {
	prefix = prompt[:min(prefixLength, len(prompt))]
	sum := sha256.Sum256(prefix)
	return prefix, sum[:]
}
