package instance

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// Guards against a process that exits while requests that were cancelled at the drain limit
// get their answers.
func TestExitAwaitsFinalAnswers(t *testing.T) {
	is := is.New(t)
	var config net.ListenConfig
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	arrived, cancelled := make(chan struct{}), make(chan struct{})
	var isAnswered atomic.Bool
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-cancelled
		_, _ = io.WriteString(w, "cancelled")
		isAnswered.Store(true)
	})}
	var group errgroup.Group
	group.Go(func() error { return ignoreClosed(server.Serve(l)) })
	group.Go(func() error {
		res, err := http.Get("http://" + l.Addr().String())
		if err != nil {
			return err
		}
		return res.Body.Close()
	})
	<-arrived
	expired, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(server.Shutdown(expired) != nil) // the drain limit has passed
	close(cancelled)
	awaitAnswers(server)
	is.True(isAnswered.Load())
	is.NoErr(group.Wait())
}
