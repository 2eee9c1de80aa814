package entry

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/drain"
	"lycheecrank.example/standin/site"
)

// heldConnection is a connection of a client that sends its request later.
type heldConnection struct {
	net.Conn
	id string
}

func (n *testInstance) hold(t *testing.T) heldConnection {
	conn, err := net.Dial("tcp", n.Settings.ClientAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return heldConnection{Conn: conn, id: fmt.Sprintf("attempt%d", attempts.Add(1))}
}

// write sends the head of a request and a part of its body of 6 bytes.
func (h heldConnection) write(path, deadlineMs, part string) {
	_, _ = fmt.Fprintf(h, "POST %s HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\nAuthorization: Token key-1\r\nDeadline-Ms: %s\r\n"+
		"Pieces: 1,2\r\nPiece-Key: k\r\nToken-Usage: 100,50\r\nPrompt-Prefix: aa:60,bb:40\r\nContent-Length: 6\r\n\r\n%s", path, h.id, deadlineMs, part)
}

// errCutOff is the error of a connection that ends without a complete answer.
var errCutOff = errors.New("connection ended without a complete answer")

// chat sends a request of the route chat with a long deadline, and returns the status.
func (n *testInstance) chat(t *testing.T) (int, error) {
	client := n.hold(t)
	client.write("/chat/1", "40000", "helmet")
	return client.status()
}

// status reads the answer and returns its status.
func (h heldConnection) status() (int, error) {
	res, err := http.ReadResponse(bufio.NewReader(h), nil)
	if err != nil {
		return 0, errors.Join(errCutOff, err)
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0, errors.Join(errCutOff, err)
	}
	return res.StatusCode, nil
}

// hasRun reports whether a worker of a pool has begun to run an attempt.
func (s *testSite) hasRun(pool, id string) bool {
	return slices.ContainsFunc(s.runs(pool), func(r site.Run) bool { return r.Attempt == id })
}

// playStop stops an instance in calm while requests are in flight and arrive on connections
// that were opened before. It describes what became of each request.
func playStop(t *testing.T, modify func(*Instance)) string {
	s := newTestSite(t)
	for _, r := range s.routes {
		r["timeoutMs"] = 20000 // later than the end of the grace period
	}
	s.configure()
	s.modify = modify
	s.start("n1")
	n := s.instances[0]
	outcomes := make([]string, 7)
	var group errgroup.Group
	await := func(row int, name, pool string, h heldConnection) <-chan struct{} {
		done := make(chan struct{})
		group.Go(func() error {
			defer close(done)
			status, err := h.status()
			outcomes[row] = fmt.Sprintf("%s: status %d, cut off %v", name, status, errors.Is(err, errCutOff))
			if s.hasRun(pool, h.id) {
				outcomes[row] += ", has run"
			}
			return nil
		})
		return done
	}
	s.setFault("registry", site.Fault{Freezes: true})
	s.setFault("models", site.Fault{Freezes: true})
	order, draft := n.hold(t), n.hold(t)
	order.write("/order/1", "20000", "helmet")
	draft.write("/draft/1", "20000", "helmet")
	await(0, "order in flight", "registry", order)
	await(1, "stream in flight", "models", draft)
	s.waitFor("the order runs", func() bool { return s.hasRun("registry", order.id) })
	s.waitFor("the stream runs", func() bool { return s.hasRun("models", draft.id) })

	n.stop()
	s.waitFor("the instance leaves", n.isLeaving)
	slowBody, openBody, lateOrder, lateStream, lateLookup := n.hold(t), n.hold(t), n.hold(t), n.hold(t), n.hold(t)
	slowBody.write("/order/2", "20000", "hel")
	openBody.write("/order/3", "20000", "hel")
	await(2, "order whose body ends late", "registry", slowBody)
	await(3, "order whose body doesn't end", "registry", openBody)
	s.waitFor("the listener is closed", func() bool {
		conn, err := net.Dial("tcp", n.Settings.ClientAddress)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
	_, _ = io.WriteString(slowBody, "met")
	lateOrder.write("/order/4", "20000", "helmet")
	lateStream.write("/draft/2", "20000", "helmet")
	await(5, "late stream", "models", lateStream)
	lateOrderDone := await(4, "late order", "registry", lateOrder)
	s.waitFor("the late orders are refused or run", func() bool {
		select {
		case <-lateOrderDone:
			return true
		default:
			return s.hasRun("registry", lateOrder.id) && s.hasRun("registry", slowBody.id)
		}
	})
	s.setFault("registry", site.Fault{})
	lateLookup.write("/lookup/1", "2000", "helmet")
	await(6, "late lookup with a short deadline", "registry", lateLookup)
	_ = group.Wait()
	if err := <-n.done; err != nil {
		t.Fatal(err)
	}
	return strings.Join(outcomes, "\n") + "\n"
}

// Guards against a planned stop in calm that takes requests late in its grace period and
// cuts them off at its end, among them requests that may not be repeated.
func TestStopAnswersAllRequests(t *testing.T) {
	t.Parallel()
	goldie.New(t).Assert(t, "stop", []byte(playStop(t, nil)))
}

// Guards against a check of TestStopAnswersAllRequests that can't fail: an instance that
// admits requests until its end sends late orders to servers. Whether they are cut off there
// or answered at the last moment is a race in the variant.
func TestStopAnswersAllRequestsVariant(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	outcomes := playStop(t, func(i *Instance) {
		i.PlanStop = func(at time.Time, grace time.Duration) drain.Schedule {
			schedule := drain.NewSchedule(at, grace)
			schedule.AnswerBy = at.Add(time.Hour)
			return schedule
		}
	})
	for _, name := range []string{"late order", "order whose body ends late"} {
		is.True(regexp.MustCompile("(?m)^" + name + ": .*, has run$").MatchString(outcomes))
	}
}

// Guards against an instance that shuts down and holds requests until its end that can't be
// prepared by then, though another instance can serve them.
func TestStopRefusesWhatCannotBePrepared(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newTestSite(t)
	s.encodeTime = 6 * time.Second
	for _, id := range []string{"encode-1", "encode-2"} {
		s.workers[id].Pause = s.encodeTime
	}
	for _, r := range s.routes {
		r["timeoutMs"], r["targetLatencyMs"] = 40000, 20000
	}
	s.configure()
	s.start("n1", "n2")
	leaving, other := s.instances[0], s.instances[1]
	const streams = 12 // the servers of the first stage compute six at a time
	var group errgroup.Group
	var mu sync.Mutex
	answered := map[int]int{}
	var refusedAt []time.Time
	for range streams {
		group.Go(func() error {
			status, err := leaving.chat(t)
			at := time.Now()
			if status == http.StatusServiceUnavailable {
				status, err = other.chat(t)
				mu.Lock()
				refusedAt = append(refusedAt, at)
				mu.Unlock()
			}
			mu.Lock()
			defer mu.Unlock()
			answered[status]++
			return err
		})
	}
	s.waitFor("both servers of the first stage compute", func() bool {
		return s.workers["encode-1"].Calls() > 0 && s.workers["encode-2"].Calls() > 0
	})
	leaving.stop()
	s.waitFor("the instance leaves", leaving.isLeaving)
	is.NoErr(group.Wait())
	is.Equal(answered, map[int]int{http.StatusOK: streams})
	is.True(len(refusedAt) > 0)
	for _, at := range refusedAt {
		is.True(at.Before(leaving.stopSchedule.Load().AnswerBy.Add(-4 * time.Second)))
	}
	is.NoErr(<-leaving.done)
}

// Guards against final answers after which a client uses a connection that is being closed.
func TestLastAnswerSaysThatItsConnectionCloses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newTestSite(t)
	for _, r := range s.routes {
		r["timeoutMs"] = 20000
	}
	s.configure()
	s.start("n1")
	n := s.instances[0]
	s.setFault("registry", site.Fault{Freezes: true})
	order := n.hold(t)
	order.write("/order/1", "20000", "helmet")
	s.waitFor("the order runs", func() bool { return s.hasRun("registry", order.id) })
	n.stop()
	res, err := http.ReadResponse(bufio.NewReader(order), nil)
	is.NoErr(err)
	is.True(res.Close)
	is.NoErr(res.Body.Close())
	is.NoErr(<-n.done)
}

// Guards against a client that holds the exit until the end of the grace period with a few
// bytes that are no request.
func TestStrayBytesDontHoldExit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newTestSite(t)
	s.start("n1")
	n := s.instances[0]
	client := n.hold(t)
	client.write("/order/1", "2000", "helmet")
	_, err := client.status()
	is.NoErr(err)
	_, err = io.WriteString(client, "\r\n")
	is.NoErr(err)
	n.stop()
	is.NoErr(<-n.done)
	is.True(time.Now().Before(n.stopSchedule.Load().CloseBy))
}
