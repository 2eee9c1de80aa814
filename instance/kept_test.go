package instance

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// Guards against a planned stop that ends requests on connections which callers keep using,
// without an answer: no answer has said that its connection closes.
func TestStopAnswersRequestsOnKeptConnections(t *testing.T) {
	const callers = 16
	for _, isHTTP2 := range []bool{false, true} {
		protocols, name := new(http.Protocols), "HTTP/1.1"
		protocols.SetHTTP1(!isHTTP2)
		protocols.SetUnencryptedHTTP2(isHTTP2)
		if isHTTP2 {
			name = "HTTP/2"
		}
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, siteOptions{}, "a")
			config := s.settingsOf("a1", "a")
			config.Drain.BalancerLag, config.Drain.Limit = 500*time.Millisecond, 5*time.Second
			n := s.prepare("a1", "a")
			n.Instance = mustNew(t, config, &logBuffer{})
			n.start()
			s.ownerOf("registry")
			s.awaitServing(setupBound, "status", n)
			client := &http.Client{Transport: &http.Transport{Protocols: protocols, MaxIdleConnsPerHost: callers}}
			defer client.CloseIdleConnections()
			var answered atomic.Int64
			var group errgroup.Group
			for range callers {
				group.Go(func() error {
					for {
						err := run(client, n.callers)
						if errors.Is(err, syscall.ECONNREFUSED) {
							return nil
						}
						if err != nil {
							return err
						}
						answered.Add(1)
					}
				})
			}
			for answered.Load() < 10*callers {
				<-time.After(time.Millisecond)
			}
			n.stop()
			is.NoErr(<-n.done)
			is.NoErr(group.Wait())
		})
	}
}

// run sends a request to an instance and reads its answer.
func run(client *http.Client, address string) error {
	body := strings.NewReader(`{"workspace":"lab","target":"status","timeoutMs":5000}`)
	res, err := client.Post("http://"+address+"/lycheecrank.caller.v1.PipelineService/Run", "application/json", body)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, res.Body)
	return errors.Join(err, res.Body.Close())
}
