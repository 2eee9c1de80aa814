package peer

// The streams that instances replicate among each other.
const (
	CatalogueStream = "catalogue"
	OwnershipStream = "ownership"
)

// Digest summarises the state of an instance. By comparing digests, two instances
// find out which of them has newer records.
type Digest struct {
	// CatalogueOffset and OwnershipOffset are the last applied offsets.
	CatalogueOffset uint64 `msgpack:"catalogueOffset"`
	OwnershipOffset uint64 `msgpack:"ownershipOffset"`
	// Holds are the holds on data centres that have not expired, including released
	// ones.
	Holds []Hold `msgpack:"holds,omitempty"`
	// LogContactAgeMs is the time since the last answer of the log.
	LogContactAgeMs int64 `msgpack:"logContactAgeMs"`
	// Leaving is set while the instance shuts down.
	Leaving bool `msgpack:"leaving"`
}

// Offset returns the last applied offset of a stream, 0 for other streams.
func (d Digest) Offset(stream string) uint64 {
	switch stream {
	case CatalogueStream:
		return d.CatalogueOffset
	case OwnershipStream:
		return d.OwnershipOffset
	}
	return 0
}

// Hold prevents new work from being placed in a data centre while the log is
// unavailable.
type Hold struct {
	DataCentre string `msgpack:"dataCentre"`
	Operator   string `msgpack:"operator"`
	// EndsInMs is the time until the hold expires. A released hold is also
	// replicated until then.
	EndsInMs int64 `msgpack:"endsInMs"`
	// Sequence orders the holds on one data centre.
	Sequence uint64 `msgpack:"sequence"`
	// Released is set if the hold was ended before it expired.
	Released bool `msgpack:"released,omitempty"`
}
