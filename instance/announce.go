package instance

import "net/http"

// announceClose makes the answers of an instance that is leaving say that their connections
// close, also those to requests that began before.
func (i *Instance) announceClose(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := &announcingWriter{ResponseWriter: w, isLeaving: i.isLeaving.Load}
		next.ServeHTTP(answer, r)
		answer.announce()
	})
}

// announcingWriter sets the header of an answer when its head is written.
type announcingWriter struct {
	http.ResponseWriter
	isLeaving func() bool
	hasHead   bool
}

func (w *announcingWriter) announce() {
	if !w.hasHead && w.isLeaving() {
		w.Header().Set("Connection", "close")
	}
	w.hasHead = true
}

// WriteHeader implements http.ResponseWriter.
func (w *announcingWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.announce()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *announcingWriter) Write(data []byte) (int, error) {
	w.announce()
	return w.ResponseWriter.Write(data)
}

// Flush implements http.Flusher, which connect requires for streams.
func (w *announcingWriter) Flush() {
	w.announce()
	if f, ok := w.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}

// Unwrap gives http.ResponseController the wrapped writer.
func (w *announcingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
