package link

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against an instance of a test that ends at its start since another process
// or connection has taken the address that it was given: ports that the system picks
// must not be among them.
func TestAddressStaysFree(t *testing.T) {
	is := is.New(t)
	given := map[string]bool{}
	for range 100 {
		address := NewAddress()
		is.True(!given[address])
		given[address] = true
		host, port, err := net.SplitHostPort(address)
		is.NoErr(err)
		is.True(net.ParseIP(host).IsLoopback())
		is.True(host != "127.0.0.1")
		// A connection of another test takes the port on the usual IP.
		other, err := net.Listen("tcp", "127.0.0.1:"+port)
		if err == nil {
			defer func() { _ = other.Close() }()
		}
		listener, err := net.Listen("tcp", address)
		is.NoErr(err)
		is.NoErr(listener.Close())
	}
}
