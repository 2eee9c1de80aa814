package request

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync/atomic"
)

// idSeparator separates the two parts of an ID of IDSource.
const idSeparator = "~"

// IDSource makes the IDs under which requests are kept. Clients choose IDs too, which may be
// missing or in use already, so that nothing may be kept under them. Concurrent calls are
// safe.
type IDSource struct {
	// origin distinguishes the source from those of other processes.
	origin string
	count  atomic.Uint64
}

// NewIDSource returns a source whose IDs no other source makes.
func NewIDSource() *IDSource {
	return &IDSource{origin: strconv.FormatUint(rand.Uint64(), 36)}
}

// Next returns the ID of a request to which its client gave an ID. It begins with the latter
// and is never the same twice.
func (s *IDSource) Next(clientID string) string {
	return clientID + idSeparator + s.origin + "." + strconv.FormatUint(s.count.Add(1), 36)
}

// ClientID returns the ID that its client gave to a request with an ID of IDSource. Another
// ID without a separator is returned as it is.
func ClientID(id string) string {
	if i := strings.LastIndex(id, idSeparator); i >= 0 {
		return id[:i]
	}
	return id
}
