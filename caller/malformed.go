package caller

import (
	"net/http"

	"lycheecrank.example/counter"
	"lycheecrank.example/request"
)

// ReasonHeader carries the reason code of a message that could not be read.
const ReasonHeader = "Lycheecrank-Reason"

// countMalformed counts the messages that the protocol library refuses, and
// names the reason in a header.
func countMalformed(next http.Handler, refusals *counter.Set) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&reasonWriter{ResponseWriter: w, refusals: refusals}, r)
	})
}

// reasonWriter looks at the status of a response.
type reasonWriter struct {
	http.ResponseWriter
	refusals *counter.Set
}

// WriteHeader adds the reason to a refusal by the protocol library.
func (w *reasonWriter) WriteHeader(status int) {
	if reason := reasonOf(status); reason != "" {
		w.refusals.Add(string(reason))
		w.Header().Set(ReasonHeader, string(reason))
	}
	w.ResponseWriter.WriteHeader(status)
}

func reasonOf(status int) request.Reason {
	switch status {
	case http.StatusBadRequest, http.StatusUnsupportedMediaType, http.StatusMethodNotAllowed:
		return request.ReasonMalformed
	case http.StatusTooManyRequests, http.StatusRequestEntityTooLarge:
		return request.ReasonInputTooLarge
	case http.StatusServiceUnavailable:
		// Memory was short while the message was read (see package frontend).
		return request.ReasonQueueFull
	}
	return ""
}

// Unwrap gives http.ResponseController the wrapped writer.
func (w *reasonWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Flush passes on a flush, which streams need.
func (w *reasonWriter) Flush() {
	if f, ok := w.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}
