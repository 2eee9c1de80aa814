package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// givenUp is the status of an attempt whose client didn't wait any longer.
const givenUp = -1

// wholeEvents is the number of events of a whole stream.
const wholeEvents = 5

func wholeStream() string {
	var b strings.Builder
	for n := 1; n <= wholeEvents; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", n, n)
	}
	return b.String()
}

// outcome is what a client saw of an attempt. Status 0 stands for a connection that
// broke before the headers, givenUp for one that the client closed then.
type outcome struct {
	id, route, instance string
	status              int
	body, seal          string
	// isWhole tells that the answer ended properly.
	isWhole bool
	// isReused tells that the connection had served other attempts.
	isReused bool
	// Times since the start of the run; sentAt is 0 if the request wasn't written whole.
	at, sentAt, endedAt time.Duration
}

var routes = []string{"order", "lookup", "draft", "nothing"}

// dial connects a client to an instance, unless the balancer has stopped that.
func (s *soakSite) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if slices.ContainsFunc(s.instances, func(i *instance) bool { return i.clients.Address() == address && !i.isReady.Load() }) {
		return nil, net.ErrClosed
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, address)
}

// runClient sends attempts until the context ends. It keeps its connections as long as
// the instance does, also while that shuts down, and asks another instance after one that
// breaks. One client in three is idle for long, so that it uses them late in a shutdown.
func (s *soakSite) runClient(ctx context.Context, number int, seed uint64) []outcome {
	r := rand.New(rand.NewPCG(seed, uint64(number)))
	// A request that a shutdown holds back ends with the process, not with the client.
	client := &http.Client{Timeout: s.load.deadline + grace, Transport: &http.Transport{DialContext: s.dial}}
	defer client.CloseIdleConnections()
	idleMs := 40
	if number%3 == 0 {
		idleMs = 3000
	}
	var outcomes []outcome
	i := s.pick(r)
	for n := 0; ctx.Err() == nil; n++ {
		o := s.ask(client, i, routes[r.IntN(len(routes))], "key-1", fmt.Sprintf("c%d-%d", number, n))
		outcomes = append(outcomes, o)
		if o.status == 0 || !o.isWhole || r.IntN(20) == 0 {
			i = s.pick(r)
		}
		pause(ctx, time.Duration(r.IntN(idleMs))*time.Millisecond)
	}
	return outcomes
}

// crashPart is a part of the prompts of some attempts, on which engines may crash.
const crashPart = "cc"

// promptOf returns the parts of an attempt's prompt. One attempt in eight has crashPart.
func promptOf(id string) string {
	own := fmt.Sprintf("own-%s:20", id)
	if xxhash.Sum64String(id)%8 == 0 {
		return "aa:60," + crashPart + ":20," + own
	}
	return "aa:60,bb:20," + own
}

// ask sends an attempt.
func (s *soakSite) ask(client *http.Client, i *instance, route, key, id string) outcome {
	o := outcome{id: id, route: route, instance: i.name, at: time.Since(s.began)}
	var sentAt atomic.Int64
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		GotConn: func(c httptrace.GotConnInfo) { o.isReused = c.Reused },
		WroteRequest: func(w httptrace.WroteRequestInfo) {
			if w.Err == nil {
				sentAt.Store(int64(time.Since(s.began)))
			}
		},
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.clients.Address()+"/"+route+"/1", strings.NewReader("helmet"))
	if err != nil {
		s.t.Error(err)
		return o
	}
	req.Host = "shop.example"
	for name, value := range map[string]string{
		"Attempt-Id": id, "Authorization": "Token " + key, "Deadline-Ms": strconv.FormatInt(max(s.load.deadline, s.orderTimeout).Milliseconds(), 10), "Pieces": "1,2", "Piece-Key": "k",
		"Token-Usage": "100,50", "Prompt-Prefix": promptOf(id), "Tenant": "forged",
	} {
		req.Header.Set(name, value)
	}
	// The library must not send a request twice by itself.
	req.GetBody = nil
	res, err := client.Do(req)
	o.sentAt, o.endedAt = time.Duration(sentAt.Load()), time.Since(s.began)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			o.status = givenUp
		}
		return o
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	o.status, o.body, o.seal, o.isWhole = res.StatusCode, string(body), res.Header.Get("Response-Seal"), err == nil
	return o
}
