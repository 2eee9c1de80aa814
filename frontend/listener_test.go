package frontend_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/frontend"
	"lycheecrank.example/intake"
)

// Guards against a planned stop that resets connections which its process hasn't accepted
// yet, as on a busy machine, although their clients have sent requests.
func TestClosedListenerSparesUnacceptedConnections(t *testing.T) {
	is := is.New(t)
	table := intake.NewTable(intake.Bounds{Memory: 6 << 20, Reserve: 1 << 20, Connections: [3]int{100, 1, 1}})
	f := frontend.New(table.Commands(), 0)
	tcp, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := f.Listen(tcp, intake.Clients)
	s := &site{t: t, table: table, address: tcp.Addr().String()}
	conns := make([]net.Conn, 20)
	for n := range conns {
		conns[n] = s.send(emptyGet)
	}
	server := f.Attach(&http.Server{Handler: answerAll(func(error) {})(f), ReadHeaderTimeout: time.Second})
	var group errgroup.Group
	group.Go(func() error { return frontend.CloseListener(t.Context(), l) })
	group.Go(func() error {
		time.Sleep(20 * time.Millisecond)
		_ = server.Serve(l)
		return nil
	})
	is.NoErr(group.Wait())
	for _, conn := range conns {
		_ = s.answer(conn).Body.Close() // fails the test without an answer
	}
	is.NoErr(server.Close())
}
