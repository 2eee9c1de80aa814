package instance

import (
	"expvar"
	"net/http"
	"time"

	"lycheecrank.example/caller"
	"lycheecrank.example/operator"
)

// httpServer returns the server for callers and operators. It speaks HTTP/1.1
// and HTTP/2, so that gRPC callers need no TLS inside a private network.
func (i *Instance) httpServer() *http.Server {
	mux := http.NewServeMux()
	callers := &caller.Handler{
		Run: i.runner.Run, Cancel: i.cancelRequest, KeyStatus: i.keyStatus,
		MaxMessageBytes: i.Settings.Limits.MaxMessageBytes, Refusals: i.counters.refusals, Frontend: i.frontend,
	}
	mux.Handle(callers.Routes())
	operators := &operator.Handler{Status: i.status, Hold: i.hold}
	for path, handler := range operators.Routes() {
		mux.Handle(path, i.frontend.Handler(handler, operator.MaxMessageBytes))
	}
	mux.HandleFunc("GET /health/live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /health/ready", i.serveReady)
	mux.Handle("GET /debug/vars", i.frontend.Handler(expvar.Handler(), 0))
	server := &http.Server{Handler: i.announceClose(mux), ReadHeaderTimeout: 5 * time.Second, Protocols: new(http.Protocols)}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	return i.frontend.Attach(server)
}

// serveReady answers the readiness checks of the load balancer.
func (i *Instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	if i.isLeaving.Load() || !i.catalogueQueries.IsLoaded() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
