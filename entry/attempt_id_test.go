package entry

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// Guards against requests whose clients chose the same ID and that get the results of each
// other, and against a request without an ID that is served as if all such requests were one.
func TestAttemptIDsOfClients(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newTestSite(t)
	for _, w := range []string{"encode-1", "encode-2"} {
		s.workers[w].Pause = 200 * time.Millisecond // the requests are prepared at the same time
	}
	s.start("n1", "n2")
	const clients = 6
	var sending errgroup.Group
	statuses := make([]int, clients)
	for c := range clients {
		sending.Go(func() error {
			statuses[c], _, _ = s.instances[c%2].sendAttempt("same", "POST", "/chat/1", "key-1", "aa:60,bb:40")
			return nil
		})
	}
	is.NoErr(sending.Wait())
	is.Equal(statuses, slices.Repeat([]int{200}, clients))
	seen := map[string]bool{}
	for _, run := range s.runs("models") {
		is.Equal(run.Attempt, "same")
		for input := range strings.SplitSeq(run.Header.Get("Inputs"), ",") {
			is.True(!seen[input]) // the result of another request
			seen[input] = true
		}
	}
	is.Equal(len(s.runs("models")), clients)

	before := len(s.runs("models")) + len(s.runs("registry"))
	for _, path := range []string{"/chat/1", "/order/1", "/lookup/1"} {
		status, _, _ := s.instances[0].sendAttempt("", "POST", path, "key-1", "aa:60,bb:40")
		is.Equal(status, 400)
	}
	is.Equal(len(s.runs("models"))+len(s.runs("registry")), before)
}
