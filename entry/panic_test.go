package entry

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"lycheecrank.example/delivery"
)

// Guards against a panic in the handler of an attempt that is hidden, or that costs its
// client the answer.
func TestPanicEndsOneAttempt(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newTestSite(t)
	s.modify = func(i *Instance) {
		record := i.delivery.OnAdmission
		i.delivery.OnAdmission = func(a delivery.Admission) {
			if a.Route == "lookup" {
				panic("index out of range")
			}
			record(a)
		}
	}
	s.start("n1")
	n := s.instances[0]
	status, _, _ := n.send("POST", "/lookup/1", "key-1")
	is.Equal(status, 502)
	status, _, _ = n.send("POST", "/order/1", "key-1")
	is.Equal(status, 200)
	is.Equal(n.coordinationCounts.Values()["panics"], int64(1))
	n.stop()
	is.NoErr(<-n.done)
	is.Equal(strings.Count(n.log.String(), `"event":117`), 1)
}
