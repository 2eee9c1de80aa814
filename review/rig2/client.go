//go:build review2

package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// limits are those of a small deployment.
var limits = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}

// request is a request of a client.
type request struct {
	method, host, path, id, body string
	deadlineMs                   int
	// leaveAfter is how long the client waits for its answer, 0 for no limit.
	leaveAfter time.Duration
	header     map[string]string
}

// send sends a request to a machine and returns the status, 0 if there was no complete
// answer, and the body.
func (q request) send(client *http.Client, m *machine) (int, string) {
	r, err := http.NewRequest(q.method, "http://"+m.front+q.path, strings.NewReader(q.body))
	if err != nil {
		fail("request: %v", err)
	}
	r.Host = q.host
	if q.id != "" {
		r.Header.Set("Attempt-Id", q.id)
	}
	r.Header.Set("Deadline-Ms", strconv.Itoa(q.deadlineMs))
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	if q.leaveAfter > 0 {
		ctx, cancel := context.WithTimeout(context.Background(), q.leaveAfter)
		defer cancel()
		r = r.WithContext(ctx)
	}
	res, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(body)
}

// load sends requests at a rate to the machines in turn.
type load struct {
	mu       sync.Mutex
	byStatus map[int]int
	lines    int
	stopping chan struct{}
	group    sync.WaitGroup
}

func startLoad(d *deployment, perSecond int, next func(n int) request) *load {
	l := &load{byStatus: map[int]int{}, stopping: make(chan struct{})}
	client := &http.Client{Timeout: 25 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}
	l.group.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ticker.C:
			case <-l.stopping:
				return
			}
			q, m := next(n), d.machines[n%len(d.machines)]
			l.group.Go(func() {
				status, text := q.send(client, m)
				l.mu.Lock()
				l.byStatus[status]++
				l.mu.Unlock()
				l.report(q, m, status, text)
			})
		}
	})
	return l
}

// maxLines bounds the lines of a record about single requests.
const maxLines = 1500

// report records how a request was answered.
func (l *load) report(q request, m *machine, status int, text string) {
	l.mu.Lock()
	l.lines++
	isWritten := l.lines <= maxLines
	l.mu.Unlock()
	if isWritten {
		record("request %q (%s %s%s) to %s: status %d, %s", q.id, q.method, q.host, q.path, m.name, status, shortened(text))
	}
}

func shortened(text string) string {
	text = strings.ReplaceAll(strings.TrimSpace(text), "\n", " ")
	if len(text) > 120 {
		return text[:120]
	}
	return text
}

// stop waits for the answers.
func (l *load) stop() {
	close(l.stopping)
	l.group.Wait()
}

// statuses returns the number of answers by status; 0 stands for none.
func (l *load) statuses() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprint(maps.Clone(l.byStatus))
}
