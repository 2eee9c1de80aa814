package bench

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/catalogue"
	"lycheecrank.example/editor"
	"lycheecrank.example/provider"
	"lycheecrank.example/request"
	"lycheecrank.example/standin"
	"lycheecrank.example/standin/fault"
	"lycheecrank.example/standin/work"
)

// server is a running stand-in of a backend server.
type server struct {
	ServerSpec
	standin *standin.Standin
	address string
}

// Site runs the stand-ins of a cell in this process, on loopback.
type Site struct {
	// Warm starts the backend servers warm.
	Warm bool
	// PlatformBytes counts what the platform has read from instances and written
	// to them.
	PlatformBytes atomic.Int64

	cell        Cell
	platform    *standin.Standin
	platformURL string
	// announceURL is the address of the platform for the backend servers, whose
	// bytes are not counted.
	announceURL string
	servers     []server
	stop        context.CancelFunc
	group       errgroup.Group
}

// Start starts the stand-ins and submits the catalogue.
func (s *Site) Start(ctx context.Context, c Cell) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	s.cell, s.stop = c, stop
	if err := s.startPlatform(running); err != nil {
		return err
	}
	for _, spec := range c.Specs() {
		if err := s.startServer(running, spec); err != nil {
			return err
		}
	}
	return s.edit(ctx, c.Catalogue(s.Address))
}

// Stop ends the stand-ins.
func (s *Site) Stop() error {
	if s.stop != nil {
		s.stop()
	}
	return s.group.Wait()
}

// Platform returns the base URL of the platform.
func (s *Site) Platform() string { return s.platformURL }

// Address returns the address of a server, "" if there is none of that name.
func (s *Site) Address(name string) string {
	for _, one := range s.servers {
		if one.Name == name {
			return one.address
		}
	}
	return ""
}

// startPlatform serves the platform on a listener that counts bytes, and on a
// plain one.
func (s *Site) startPlatform(ctx context.Context) error {
	var config net.ListenConfig
	counted, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	plain, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Join(eris.Wrap(err, "listen"), counted.Close())
	}
	s.platform = standin.NewPlatform(standin.PlatformOptions{})
	s.platformURL, s.announceURL = "http://"+counted.Addr().String(), "http://"+plain.Addr().String()
	h := &http.Server{
		Handler: s.platform.Handler, Protocols: new(http.Protocols), ReadHeaderTimeout: 5 * time.Second,
		// Each instance has tails of all streams open on one connection.
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: 10_000},
	}
	h.Protocols.SetHTTP1(true)
	h.Protocols.SetUnencryptedHTTP2(true)
	for _, l := range []net.Listener{countingListener{counted, &s.PlatformBytes}, plain} {
		s.group.Go(func() error {
			if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				return eris.Wrap(err, "serve the platform")
			}
			return nil
		})
	}
	s.group.Go(func() error {
		<-ctx.Done()
		s.platform.Stop()
		return h.Close()
	})
	return nil
}

func (s *Site) startServer(ctx context.Context, spec ServerSpec) error {
	g := spec.Group
	o := standin.BackendOptions{
		Name: spec.Name, DataCentre: spec.DataCentre, Pool: spec.Pool, ServiceTime: spec.ServiceTime,
		LoadLag: time.Second, Platform: s.announceURL, Client: http.DefaultClient,
		Limits: work.Limits{MaxInFlight: g.MaxInFlight, ColdInFlight: g.ColdInFlight, ColdForRequests: g.ColdForRequests},
	}
	if s.Warm {
		o.Limits.ColdForRequests = 0
	}
	var one *standin.Standin
	var err error
	switch spec.Kind {
	case request.Generate:
		one = standin.NewEngine(standin.EngineOptions{BackendOptions: o, TokensPerSecond: spec.TokensPerSecond, PieceTokens: g.PieceTokens})
	case request.Call:
		one = standin.NewService(o)
	default:
		one, err = standin.NewPool(spec.Kind, o)
	}
	if err != nil {
		return err
	}
	one.DrainLimit = time.Second
	ready := make(chan string, 1)
	s.group.Go(func() error {
		defer close(ready)
		// Calls that still run when a measurement is over may be cut off.
		_ = one.Run(ctx, "127.0.0.1:0", func(address string) { ready <- address })
		return nil
	})
	address := <-ready
	if address == "" {
		return eris.Errorf("stand-in %s did not start", spec.Name)
	}
	s.servers = append(s.servers, server{ServerSpec: spec, standin: one, address: address})
	return nil
}

// edit submits entries to the catalogue.
func (s *Site) edit(ctx context.Context, entries []catalogue.Entry) error {
	e := editor.Editor{Log: provider.NewLog(http.DefaultClient, s.platformURL)}
	h, err := e.Load(ctx)
	if err != nil {
		return err
	}
	changes := catalogue.File{Entries: entries}.Changes(h.Catalogue)
	v, err := e.Submit(ctx, editor.NewEdit("bench", changes))
	if err == nil && v.Decision != catalogue.Accepted {
		err = eris.Errorf("catalogue: %s: %s", v.Decision, v.Detail)
	}
	return err
}

// SetState takes a data centre out of service or brings it back.
func (s *Site) SetState(ctx context.Context, dataCentre string, state catalogue.State) error {
	for _, e := range s.cell.Catalogue(s.Address) {
		if e.Kind == catalogue.DataCentreKind && e.Name == dataCentre {
			return s.edit(ctx, []catalogue.Entry{e.WithState(state)})
		}
	}
	return eris.Errorf("no data centre %s", dataCentre)
}

// TurnCold makes a server, or all of a data centre, cold.
func (s *Site) TurnCold(name string) error {
	found := false
	for _, one := range s.servers {
		if one.Name == name || one.DataCentre == name {
			found = true
			one.standin.SetFault(fault.Fault{Cold: true})
			one.standin.SetFault(fault.Fault{})
		}
	}
	if !found {
		return eris.Errorf("no server or data centre %s", name)
	}
	return nil
}

// started returns how many steps the servers of a data centre have begun.
func (s *Site) started(dataCentre string) int64 {
	var n int64
	for _, one := range s.servers {
		if one.DataCentre == dataCentre {
			n += one.standin.Counts()["started"]
		}
	}
	return n
}

// counts returns what the servers of each pool have counted.
func (s *Site) counts() map[string]StageCost {
	byPool := map[string]StageCost{}
	for _, one := range s.servers {
		c := one.standin.Counts()
		cost := byPool[one.Pool]
		cost.Pool = one.Pool
		cost.Executed += c["started"]
		cost.Refused += c["refusedOverload"] + c["refusedCold"] + c["refusedLeaving"]
		cost.FellOver += c["fellOver"]
		byPool[one.Pool] = cost
	}
	return byPool
}

// coldServers returns the servers of a pool that have had too few successes to
// be warm.
func (s *Site) coldServers(pool string) []string {
	var cold []string
	for _, one := range s.servers {
		if one.Pool == pool && one.standin.Counts()["succeeded"] < int64(one.Group.ColdForRequests) {
			cold = append(cold, one.Name)
		}
	}
	return cold
}

// filings returns how often each subject was filed at all plain services. It sends them
// no request, which a cold or full server would refuse.
func (s *Site) filings() map[string]int64 {
	sums := map[string]int64{}
	for _, one := range s.servers {
		if one.Kind != request.Call {
			continue
		}
		for _, t := range one.standin.Totals() {
			for _, n := range t.Sums {
				sums[t.Subject] += n
			}
		}
	}
	return sums
}

// countingListener counts the bytes of its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns the next connection.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts what it reads.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts what it writes.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
