package request_test

import (
	"testing"

	"github.com/matryer/is"

	"lycheecrank.example/request"
)

// Guards against two requests that are kept under the same ID because their clients chose
// the same, and against an ID of a client that reaches servers changed.
func TestIDsAreUnique(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for _, source := range []*request.IDSource{request.NewIDSource(), request.NewIDSource()} {
		for _, clientID := range []string{"", "a1", "a1", "a~1", "~", "~~", "a1~", "a1~x.1"} {
			id := source.Next(clientID)
			is.True(!seen[id])
			is.Equal(request.ClientID(id), clientID)
			seen[id] = true
		}
	}
	is.Equal(request.ClientID("r1"), "r1")
}
