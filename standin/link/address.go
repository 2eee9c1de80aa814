package link

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"
)

// firstPort is the first port that NewAddress gives.
const firstPort = 10_000

var addresses atomic.Int32

// NewAddress returns a loopback address (IP:port) for a listener that is opened later,
// or that another process opens. The IP belongs to the calling process, so that no
// port that the system picks for connections or for listeners on 127.0.0.1 is ever the
// same: an address that was free when asked for can be taken before it is used.
func NewAddress() string {
	process := os.Getpid()
	ip := net.IPv4(127, byte(64|process>>16&0x3f), byte(process>>8), byte(process))
	return net.JoinHostPort(ip.String(), strconv.Itoa(firstPort+int(addresses.Add(1))))
}
