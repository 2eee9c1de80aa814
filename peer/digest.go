package peer

// The streams that instances pass on to each other.
const (
	CatalogueStream = "catalogue"
	OwnershipStream = "ownership"
)

// Digest says what an instance knows, so that two instances see which one has
// newer records.
type Digest struct {
	// CatalogueOffset and OwnershipOffset are the last applied offsets.
	CatalogueOffset uint64 `msgpack:"catalogueOffset"`
	OwnershipOffset uint64 `msgpack:"ownershipOffset"`
	// Holds are the holds on data centres whose time has not run out, released
	// ones included.
	Holds []Hold `msgpack:"holds,omitempty"`
	// LogContactAgeMs is the time since the log last answered.
	LogContactAgeMs int64 `msgpack:"logContactAgeMs"`
	// Leaving tells that the instance is shutting down.
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

// Hold keeps new work from a data centre while the log is down.
type Hold struct {
	DataCentre string `msgpack:"dataCentre"`
	Operator   string `msgpack:"operator"`
	// EndsInMs is the time until the hold ends by itself, and until then a
	// released hold is passed on.
	EndsInMs int64 `msgpack:"endsInMs"`
	// Sequence orders the holds of a data centre.
	Sequence uint64 `msgpack:"sequence"`
	// Released tells that the hold was ended before its time.
	Released bool `msgpack:"released,omitempty"`
}
