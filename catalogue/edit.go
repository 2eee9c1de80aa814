package catalogue

import "time"

// Change sets or deletes one entry.
type Change struct {
	ID ID `msgpack:"id"`
	// BaseRevision is the revision that the entry must have for the change to apply;
	// 0 for an entry that must not exist yet.
	BaseRevision uint64 `msgpack:"basedOn"`
	// Entry is the new content; nil deletes the entry.
	Entry *Entry `msgpack:"entry,omitempty"`
}

// Edit is a set of changes that are accepted or refused together.
type Edit struct {
	// ID is unique for each edit. Its author finds the verdict by it, and a
	// repeated edit is detected by it.
	ID        string    `msgpack:"id"`
	Author    string    `msgpack:"author"`
	CreatedAt time.Time `msgpack:"at"`
	Changes   []Change  `msgpack:"changes"`
}

// Snapshot is the state of the catalogue after the record at an offset.
type Snapshot struct {
	// Offset is the offset of the last record that the snapshot includes.
	Offset uint64 `msgpack:"through"`
	// Revision is the offset of the last accepted edit.
	Revision uint64  `msgpack:"revision"`
	Entries  []Entry `msgpack:"entries"`
	// JudgedEdits are the identifiers of the latest edits with a verdict, oldest first.
	JudgedEdits []string `msgpack:"judged"`
}

// Record is a record of the stream "catalogue". At most one of its fields is set.
type Record struct {
	Edit     *Edit     `msgpack:"edit,omitempty"`
	Snapshot *Snapshot `msgpack:"snapshot,omitempty"`
}

// StreamName is the name of the catalogue's stream in the log.
const StreamName = "catalogue"

// Decision is the kind of a verdict.
type Decision string

// The decisions on a record.
const (
	// Accepted: the edit is in force from its offset on.
	Accepted Decision = "accepted"
	// Conflict: an entry has another revision than the edit is based on.
	Conflict Decision = "conflict"
	// Invalid: the catalogue would break a rule.
	Invalid Decision = "invalid"
	// Repeated: an earlier edit with the same identifier has a verdict.
	Repeated Decision = "repeated"
	// NoEdit: the record contains no edit, because it is a snapshot or could not be
	// decoded, and changes nothing.
	NoEdit Decision = "passed"
)

// Verdict is the decision on a record, the same on every instance.
type Verdict struct {
	Offset   uint64
	EditID   string
	Author   string
	EditedAt time.Time
	Decision Decision
	// Detail is the reason for operators; empty if accepted.
	Detail string
	// ChangedIDs are the entries that the edit sets or deletes.
	ChangedIDs []ID
}
