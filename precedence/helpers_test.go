package precedence_test

import (
	"crypto/ed25519"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"lycheecrank.example/codec"
	"lycheecrank.example/precedence"
)

var (
	start  = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)
	sealer = precedence.Sealer{Encode: codec.Marshal, Decode: codec.Unmarshal}
)

// signingKey returns a fixed key, so that golden files stay the same.
func signingKey(seed byte) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed(append(make([]byte, ed25519.SeedSize-1), seed))
}

func at(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }

func golden(t *testing.T) *goldie.Goldie {
	t.Helper()
	return goldie.New(t, goldie.WithFixtureDir("testdata"))
}

// decision returns a dispatch record with a value in every field that a decision can have.
// A real dispatch has no outcome; it is set here so that round trips cover the field.
func decision(id string, milliseconds int) precedence.Record {
	return precedence.Record{
		Kind: precedence.Dispatch, RequestID: id, Workspace: "lab-intake", Target: "findings", RequestKey: "key-" + id,
		Class: "inspection", Rank: 1, Stage: "rerank", Pool: "rerank-small", Server: "helsinki-a-gpu-3", Attempt: 1,
		Arrival: at(milliseconds - 5), Deadline: at(milliseconds + 6000), DecidedAt: at(milliseconds),
		Revision: 41, Reason: "noServerFree", Waiting: 2, Outcome: "ran",
	}
}

// chain adds records to a new chain and returns them in signed batches of up to size
// records.
func chain(t testing.TB, origin precedence.Origin, size int, records ...precedence.Record) []precedence.Batch {
	t.Helper()
	table := precedence.NewTable(origin.Instance, origin.Incarnation, len(records)+2)
	for _, r := range records {
		table.Commands().Add(r)
	}
	var batches []precedence.Batch
	for {
		batch, ok := table.Commands().TakeBatch(size)
		if !ok {
			return batches
		}
		batches = append(batches, batch.WithSignature(signingKey(1)))
		table.Commands().ConfirmBatch()
	}
}

// gapChain returns three batches of one chain: records 1 to 3, records 4 and 5
// with a gap record for 6 to 8, record 9.
func gapChain(t testing.TB) []precedence.Batch {
	t.Helper()
	table := precedence.NewTable("helsinki-a-1", "i1", 5)
	commands := table.Commands()
	var batches []precedence.Batch
	takeBatch := func(limit int) {
		batch, ok := commands.TakeBatch(limit)
		if !ok {
			t.Fatal("no batch")
		}
		batches = append(batches, batch.WithSignature(signingKey(1)))
		commands.ConfirmBatch()
	}
	for i := range 8 {
		commands.Add(decision("r"+string(rune('1'+i)), 100*i))
	}
	takeBatch(3)
	takeBatch(3)
	commands.Add(decision("r9", 900))
	takeBatch(3)
	return batches
}
