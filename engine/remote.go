package engine

import (
	"maps"
	"time"
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
	reads   map[string]remoteRead
	sweptAt time.Time
}

type remoteRead struct {
	address string
	at      time.Time
}

// prefixKey returns a key for the beginning of a prompt that ends with a part. The
// parameter before is the key of the beginning without that part.
func prefixKey(before string, part Part) string { return before + "/" + part.ID }

// add records a read, and removes the reads that are too old for a transfer.
func (c *remoteCache) add(read RemoteRead, now time.Time) {
	if c.reads == nil {
		c.reads = map[string]remoteRead{}
	}
	if now.Sub(c.sweptAt) >= transferLifetime {
		c.sweptAt = now
		maps.DeleteFunc(c.reads, func(_ string, r remoteRead) bool { return now.Sub(r.at) >= transferLifetime })
	}
	key := read.Prompt.Model
	for _, part := range read.Prompt.Parts {
		key = prefixKey(key, part)
		c.reads[key] = remoteRead{address: read.Address, at: now}
	}
}

// longest returns the engine that has read the longest beginning of a prompt, with its
// number of tokens; 0 for none.
func (c *remoteCache) longest(p Prompt, now time.Time) (address string, tokens int64) {
	key, sum := p.Model, int64(0)
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
