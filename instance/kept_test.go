package instance

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// Guards against a planned stop that closes connections which callers use, without having
// said so in an answer.
func TestStopAnswersRequestsOnKeptConnections(t *testing.T) {
	const connections = 16
	s := newSite(t, siteOptions{}, "a")
	config := s.settingsOf("a1", "a")
	config.Drain.BalancerLag, config.Drain.Limit = 500*time.Millisecond, 5*time.Second
	n := s.prepare("a1", "a")
	n.Instance = mustNew(t, config, &logBuffer{})
	n.start()
	s.ownerOf("registry")
	s.awaitServing(setupBound, "status", n)
	body := `{"workspace":"lab","target":"status","timeoutMs":5000}`
	request := fmt.Sprintf("POST /lycheecrank.caller.v1.PipelineService/Run HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	var group errgroup.Group
	var answered, saidClose, reset, ended, refused atomic.Int64
	statuses := make([]string, connections)
	for k := range connections {
		group.Go(func() error {
			conn, err := net.Dial("tcp", n.callers)
			if err != nil {
				return err
			}
			defer func() { _ = conn.Close() }()
			r := bufio.NewReader(conn)
			for {
				if _, err := io.WriteString(conn, request); err != nil {
					ended.Add(1)
					return nil
				}
				_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
				res, err := http.ReadResponse(r, nil)
				switch {
				case errors.Is(err, syscall.ECONNRESET):
					reset.Add(1)
					return nil
				case err != nil:
					ended.Add(1)
					return nil
				}
				data, _ := io.ReadAll(res.Body)
				statuses[k] = res.Status + " " + string(data[:min(len(data), 80)])
				if res.StatusCode != http.StatusOK || strings.Contains(string(data), "eaving") {
					refused.Add(1)
				}
				answered.Add(1)
				if res.Close {
					saidClose.Add(1)
					return nil
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	n.stop()
	err := <-n.done
	_ = group.Wait()
	t.Log(err, statuses[0])
	t.Logf("%d answered, %d refused", answered.Load(), refused.Load())
	if cut := reset.Load() + ended.Load(); cut > 0 {
		t.Errorf("of %d connections in use %d were closed without an answer to the last request (%d reset), %d said that they close", connections, cut, reset.Load(), saidClose.Load())
	}
}
