package ownership

// Kind tells what a record of the stream does.
type Kind string

// The kinds of records. Readers pass over records of any other kind.
const (
	// Take makes an instance the owner of pools.
	Take Kind = "take"
	// Renew shows that an instance goes on with all its terms.
	Renew Kind = "renew"
	// Release ends terms of an instance at once.
	Release Kind = "release"
)

// Record is a record of the stream "ownership". It concerns pools of one data
// centre, which is that of the instance. The zero Record has no effect; a reader
// applies it in place of a record that it can't decode.
type Record struct {
	Kind        Kind   `msgpack:"kind"`
	Instance    string `msgpack:"instance"`
	Incarnation string `msgpack:"incarnation"`
	DataCentre  string `msgpack:"dataCentre"`
	// Sequence tells the records of an incarnation apart, so that it knows when
	// it began the append of the record that it reads back.
	Sequence uint64 `msgpack:"sequence"`
	// Through is set in a take: the offset through which the taker had applied
	// the stream when it decided. The take of a pool is valid only if no valid
	// take, renewal or release between Through and the take names the pool, so
	// that the previous term and its last renewal are still the current ones. A
	// reader can judge this without the records before Through, which may have
	// expired.
	Through uint64 `msgpack:"through,omitempty"`
	// Terms lists the pools. In a renewal these are all terms of the instance, so
	// that a reader can rebuild them when the takes have expired.
	Terms []RecordTerm `msgpack:"terms"`
}

// RecordTerm is the part of a record that concerns one pool.
type RecordTerm struct {
	Pool string `msgpack:"pool"`
	// Term is the term that is renewed or released; in a take the previous term,
	// 0 if the taker knows none.
	Term uint64 `msgpack:"term"`
	// PreviousRenewal is set in a take: the offset of the last record that showed
	// the previous term, 0 if the taker knows none.
	PreviousRenewal uint64 `msgpack:"previousRenewal,omitempty"`
	// Settled is set in a release: no work of this or an earlier owner runs any
	// more, so that the next owner needn't wait.
	Settled bool `msgpack:"settled,omitempty"`
}

func (r Record) isKnown() bool {
	return r.Kind == Take || r.Kind == Renew || r.Kind == Release
}

func (r Record) isRenewalBy(s Self) bool {
	return r.Kind == Renew && r.Instance == s.Instance && r.Incarnation == s.Incarnation
}
