package feed

import "cmp"

// Version orders the values that the writer of a key has written, whichever order the
// store executed the writes in. The zero value is the version of a value that has none.
type Version struct {
	// Process is higher for a later process of the writer.
	Process int64
	// Sequence counts the writes of the process, starting at 1.
	Sequence int64
	// IsFinal is set in the last state of a process, which is never revoked.
	IsFinal bool
}

func (v Version) isOrderedWith(other Version) bool {
	return v.Process > 0 && v.Sequence > 0 && other.Process > 0 && other.Sequence > 0
}

// isNewerThan reports whether a value is newer than another one. It is false if one of
// them has no version.
func (v Version) isNewerThan(other Version) bool {
	switch {
	case !v.isOrderedWith(other):
		return false
	case v.Process == other.Process && v.IsFinal != other.IsFinal:
		return v.IsFinal
	}
	return cmp.Or(cmp.Compare(v.Process, other.Process), cmp.Compare(v.Sequence, other.Sequence)) > 0
}
