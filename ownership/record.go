package ownership

// Kind distinguishes the records of the stream.
type Kind string

// The kinds of records. Readers skip records of any other kind.
const (
	// Acquire makes an instance the owner of pools.
	Acquire Kind = "take"
	// Renew extends all terms of an instance.
	Renew Kind = "renew"
	// Release ends terms of an instance immediately.
	Release Kind = "release"
)

// Record is a record of the stream "ownership". It concerns pools of the data
// centre of the instance. The zero Record has no effect; a reader applies it in
// place of a record that it can't decode.
type Record struct {
	Kind        Kind   `msgpack:"kind"`
	Instance    string `msgpack:"instance"`
	Incarnation string `msgpack:"incarnation"`
	DataCentre  string `msgpack:"dataCentre"`
	// Sequence numbers the records of an incarnation. When the instance reads a
	// record back, it looks up by this number when the append started.
	Sequence uint64 `msgpack:"sequence"`
	// AppliedOffset is set in an acquisition: the last offset that the instance had
	// applied when it decided to acquire. The acquisition of a pool is valid only
	// if no valid acquisition, renewal or release of the pool lies between that
	// offset and the record, so that the previous term and its last renewal are
	// still the current ones. A reader can check this without earlier records,
	// which may have expired.
	AppliedOffset uint64 `msgpack:"through,omitempty"`
	// Terms lists the pools. A renewal lists all terms of the instance, so that a
	// reader can restore them after the acquisitions have expired.
	Terms []RecordTerm `msgpack:"terms"`
}

// RecordTerm is the part of a record that concerns one pool.
type RecordTerm struct {
	Pool string `msgpack:"pool"`
	// Term is the term that is renewed or released; in an acquisition the
	// previous term, 0 if the instance knows none.
	Term uint64 `msgpack:"term"`
	// PreviousRenewal is set in an acquisition: the offset of the last record
	// that confirmed the previous term, 0 if the instance knows none. No reader
	// uses it.
	PreviousRenewal uint64 `msgpack:"previousRenewal,omitempty"`
	// Drained is set in a release: no calls of this or an earlier owner are
	// running, so that the next owner needn't wait.
	Drained bool `msgpack:"settled,omitempty"`
}

func (r Record) isKnown() bool {
	return r.Kind == Acquire || r.Kind == Renew || r.Kind == Release
}

func (r Record) isRenewalBy(s Identity) bool {
	return r.Kind == Renew && r.Instance == s.Instance && r.Incarnation == s.Incarnation
}
