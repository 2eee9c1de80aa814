package peer

// Hello is the first message on a connection and identifies the instance that
// sends it.
type Hello struct {
	Instance    string `msgpack:"instance"`
	Incarnation string `msgpack:"incarnation"`
	DataCentre  string `msgpack:"dataCentre"`
}
