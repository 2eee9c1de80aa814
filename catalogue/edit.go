package catalogue

import "time"

// Change is one change of an edit.
type Change struct {
	ID ID `msgpack:"id"`
	// BasedOn is the revision of the entry that the change was made from; 0 for
	// an entry that must not exist yet.
	BasedOn uint64 `msgpack:"basedOn"`
	// Entry is the new content; nil deletes the entry.
	Entry *Entry `msgpack:"entry,omitempty"`
}

// Edit is a set of changes that is accepted or refused as a whole.
type Edit struct {
	// ID is unique for each edit, so that its author finds the verdict.
	ID      string    `msgpack:"id"`
	Author  string    `msgpack:"author"`
	At      time.Time `msgpack:"at"`
	Changes []Change  `msgpack:"changes"`
}

// Snapshot is the state of the catalogue through an offset.
type Snapshot struct {
	Through uint64 `msgpack:"through"`
	// Revision is the offset of the last accepted edit.
	Revision uint64  `msgpack:"revision"`
	Entries  []Entry `msgpack:"entries"`
	// Judged are the identifiers of the latest edits, oldest first.
	Judged []string `msgpack:"judged"`
}

// Record is a record of the stream "catalogue". One of its fields is set.
type Record struct {
	Edit     *Edit     `msgpack:"edit,omitempty"`
	Snapshot *Snapshot `msgpack:"snapshot,omitempty"`
}

// Stream is the name of the catalogue's stream in the log.
const Stream = "catalogue"

// Decision is the verdict's kind.
type Decision string

// The decisions on a record.
const (
	// Accepted: the edit is in force from its offset on.
	Accepted Decision = "accepted"
	// Conflict: an entry has another revision than the edit is based on.
	Conflict Decision = "conflict"
	// Invalid: the catalogue would break a rule.
	Invalid Decision = "invalid"
	// Repeated: an edit with the same identifier was judged before.
	Repeated Decision = "repeated"
	// Passed: the record is a snapshot and changes nothing.
	Passed Decision = "passed"
)

// Verdict is what every reader decides on a record.
type Verdict struct {
	Offset   uint64
	EditID   string
	Author   string
	At       time.Time
	Decision Decision
	// Detail is a sentence for people; empty if accepted.
	Detail string
	// Changed are the entries that the edit names.
	Changed []ID
}
