package peer

// Hello names an instance to its peers.
type Hello struct {
	Instance    string `msgpack:"instance"`
	Incarnation string `msgpack:"incarnation"`
	DataCentre  string `msgpack:"dataCentre"`
}
