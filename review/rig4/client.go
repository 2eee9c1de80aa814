//go:build review3

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is a request of a client as it saw it.
type attempt struct {
	id, path, instance string
	sentAt, endedAt    time.Time
	status             int
	body, retryAfter   string
	err                error
}

// clients send attempts and keep what they saw.
type clients struct {
	mu       sync.Mutex
	attempts []attempt
	http     *http.Client
	count    atomic.Int64
	group    sync.WaitGroup
}

func newClients() *clients {
	return &clients{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, DisableCompression: true}}}
}

// send sends one attempt and waits for its answer. The headers are in pairs.
func (c *clients) send(i *instance, method, path string, deadline time.Duration, header ...string) attempt {
	a := attempt{id: fmt.Sprintf("%016x", c.count.Add(1)+0x5eed000000), path: path, instance: i.name}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("body of " + a.id)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+i.front+path, body)
	if err != nil {
		cannotRun("request: %v", err)
	}
	req.Host = "recall.example"
	req.Header.Set("Attempt-Id", a.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for n := 0; n+1 < len(header); n += 2 {
		req.Header.Set(header[n], header[n+1])
	}
	a.sentAt = time.Now()
	res, err := c.http.Do(req)
	if err == nil {
		a.status, a.retryAfter = res.StatusCode, res.Header.Get("Retry-After")
		var data []byte
		data, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
		a.body = string(data)
	}
	a.endedAt, a.err = time.Now(), err
	c.mu.Lock()
	c.attempts = append(c.attempts, a)
	c.mu.Unlock()
	return a
}

// every sends attempts at an interval until a time, to the instances in turn.
func (c *clients) every(interval time.Duration, until time.Time, all []*instance, method, path string, deadline time.Duration, header func(n int) []string) {
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for n := 0; time.Now().Before(until); n++ {
			var pairs []string
			if header != nil {
				pairs = header(n)
			}
			c.group.Add(1)
			go func() {
				defer c.group.Done()
				c.send(all[n%len(all)], method, path, deadline, pairs...)
			}()
			<-ticker.C
		}
	}()
}

func (c *clients) all() []attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]attempt(nil), c.attempts...)
}
