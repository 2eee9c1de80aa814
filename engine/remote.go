package engine

import (
	"maps"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RemoteRead is a prompt that an engine of another cell has read.
type RemoteRead struct {
	Pool string
	// Address is the address of the engine.
	Address string
	Prompt  Prompt
}

// remoteCache holds which engines of other cells have read the beginnings of prompts.
// Engines of this cell fetch them from there.
type remoteCache struct {
	// reads holds the newest read of each beginning of a prompt, by prefixKey.
	reads   map[uint64]remoteRead
	sweptAt time.Time
}

type remoteRead struct {
	address string
	at      time.Time
}

// maxRemoteReads bounds the beginnings of prompts that are remembered.
const maxRemoteReads = 16384

// prefixKey returns a key for the beginning of a prompt that ends with a part. The
// parameter before is the key of the beginning without that part. It is a hash, because the
// IDs of long prompts take too much memory: an engine that is taken for one with the prompt
// has nothing to fetch.
func prefixKey(before uint64, part Part) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(before, 16) + "/" + part.ID)
}

// add records a read, and removes the reads that are too old for a transfer.
func (c *remoteCache) add(read RemoteRead, now time.Time) {
	if c.reads == nil {
		c.reads = map[uint64]remoteRead{}
	}
	if now.Sub(c.sweptAt) >= transferLifetime {
		c.sweptAt = now
		maps.DeleteFunc(c.reads, func(_ uint64, r remoteRead) bool { return now.Sub(r.at) >= transferLifetime })
	}
	key := xxhash.Sum64String(read.Prompt.Model)
	for _, part := range read.Prompt.Parts {
		key = prefixKey(key, part)
		c.reads[key] = remoteRead{address: read.Address, at: now}
	}
	evictOldest(c.reads, maxRemoteReads, func(r remoteRead) time.Time { return r.at })
}

// longest returns the engine that has read the longest beginning of a prompt, with its
// number of tokens; 0 for none.
func (c *remoteCache) longest(p Prompt, now time.Time) (address string, tokens int64) {
	key, sum := xxhash.Sum64String(p.Model), int64(0)
	for _, part := range p.Parts {
		key, sum = prefixKey(key, part), sum+part.Tokens
		if r, ok := c.reads[key]; ok && now.Sub(r.at) < transferLifetime {
			address, tokens = r.address, sum
		}
	}
	return address, tokens
}

// AddRemoteReads records prompts that engines of other cells have read.
func (c Commands) AddRemoteReads(reads []RemoteRead, now time.Time) {
	t := c.table
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reads {
		if p := t.pools[r.Pool]; p != nil {
			p.remote.add(r, now)
		}
	}
}

// IsWorthTransfer reports whether the parts of the prompt are large enough to be fetched
// from another engine.
func (p Prompt) IsWorthTransfer() bool {
	tokens := int64(0)
	for _, part := range p.Parts {
		tokens += part.Tokens
	}
	return tokens >= minTransferTokens
}
