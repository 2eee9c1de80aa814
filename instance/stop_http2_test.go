package instance

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// Guards against a planned stop that ends requests of callers over HTTP/2 without an answer.
func TestStopAnswersRequestsOverHTTP2(t *testing.T) {
	const callers = 16
	s := newSite(t, siteOptions{}, "a")
	config := s.settingsOf("a1", "a")
	config.Drain.BalancerLag, config.Drain.Limit = 500*time.Millisecond, 5*time.Second
	n := s.prepare("a1", "a")
	n.Instance = mustNew(t, config, &logBuffer{})
	n.start()
	s.ownerOf("registry")
	s.awaitServing(setupBound, "status", n)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	var group errgroup.Group
	var answered, refused atomic.Int64
	var mu sync.Mutex
	failures := map[string]int{}
	for range callers {
		group.Go(func() error {
			for {
				res, err := client.Post("http://"+n.callers+"/lycheecrank.caller.v1.PipelineService/Run", "application/json", strings.NewReader(`{"workspace":"lab","target":"status","timeoutMs":5000}`))
				if err == nil {
					_, err = io.Copy(io.Discard, res.Body)
					_ = res.Body.Close()
				}
				switch {
				case errors.Is(err, syscall.ECONNREFUSED):
					refused.Add(1)
					return nil
				case err != nil:
					mu.Lock()
					failures[err.Error()]++
					mu.Unlock()
					return nil
				}
				answered.Add(1)
				time.Sleep(time.Millisecond)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	n.stop()
	t.Log(<-n.done)
	_ = group.Wait()
	t.Logf("%d answered, %d connections refused", answered.Load(), refused.Load())
	if len(failures) > 0 {
		t.Errorf("requests without an answer: %v", failures)
	}
}
