//go:build review

package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// host is the host of all routes.
const host = "pule25.example"

// sentRequest is a request of a client.
type sentRequest struct {
	instance *instance
	sentAt   time.Time
}

// clients sends requests at random times to the instances in rotation and remembers to
// which one each was sent. Clients keep their connections.
type clients struct {
	site   *site
	client *http.Client
	// perSecond is the mean rate of requests, clump the number of requests that come at
	// once. Single requests come at random times, clumps at more regular ones.
	perSecond float64
	clump     int
	path      string
	// header returns the headers of a request.
	header   func(id string) http.Header
	deadline time.Duration
	// onAnswer is called with the status of each answer; it may be nil.
	onAnswer func(id string, status int)

	mu   sync.Mutex
	sent map[string]sentRequest
}

func (s *site) newClients(perSecond float64, path string, deadline time.Duration, header func(id string) http.Header) *clients {
	return &clients{
		site: s, perSecond: perSecond, clump: 1, path: path, deadline: deadline, header: header, sent: map[string]sentRequest{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 10 * time.Second, DisableCompression: true}},
	}
}

// run sends requests until the context ends, and waits for their answers.
func (c *clients) run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for ctx.Err() == nil {
		pause(ctx, time.Duration(c.gap()*float64(c.clump)/c.perSecond*float64(time.Second)))
		in := c.site.rotation()
		if len(in) == 0 {
			continue
		}
		for range c.clump {
			group.Go(func() { c.send(in[mathrand.IntN(len(in))]) })
		}
	}
}

// gap returns a random time until the next requests, with a mean of 1.
func (c *clients) gap() float64 {
	if c.clump > 1 {
		return 0.6 + 0.8*mathrand.Float64()
	}
	return mathrand.ExpFloat64()
}

// send sends a request to an instance.
func (c *clients) send(to *instance) {
	id := newID()
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.front+c.path, strings.NewReader("helmet"))
	if err != nil {
		return
	}
	// Without GetBody, net/http sends the request once.
	req.GetBody = nil
	req.Host = host
	req.Header = c.header(id)
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	c.mu.Lock()
	c.sent[id] = sentRequest{to, time.Now()}
	c.mu.Unlock()
	c.site.record.count("requests")
	c.site.record.write("a client sends %s to %s", id, to.name)
	res, err := c.client.Do(req)
	if err != nil {
		c.site.record.count("unanswered")
		c.site.record.write("no answer to %s: %v", id, err)
		return
	}
	_, err = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	c.site.record.count(fmt.Sprint("status ", res.StatusCode))
	c.site.record.write("%s is answered %d, whole %v", id, res.StatusCode, err == nil)
	if c.onAnswer != nil {
		c.onAnswer(id, res.StatusCode)
	}
}

// of returns the request with an ID.
func (c *clients) of(id string) (sentRequest, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.sent[id]
	return r, ok
}

func newID() string {
	var random [8]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}
