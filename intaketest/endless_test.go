package intaketest

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"path"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// sealed begins a successful answer to an attempt.
const sealed = "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal\r\n"

// endless holds what a faulty server writes to a connection, by the last part of the path:
// a beginning, in which %s stands for the ID of the attempt, and a text that it repeats
// until the caller closes.
var endless = map[string]struct{ start, text string }{
	"noise":    {"", "\x00\xff no answer "},
	"status":   {"HTTP/1.1 ", "200 "},
	"header":   {sealed + "X-Filler: ", "aaaaaaaa"},
	"headers":  {sealed, "X-Filler: aaaaaaaa\r\n"},
	"interim":  {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	"body":     {sealed + "\r\n", "aaaaaaaa"},
	"chunks":   {sealed + "Transfer-Encoding: chunked\r\n\r\n", "8\r\naaaaaaaa\r\n"},
	"trailers": {sealed + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: aaaaaaaa\r\n"},
	"extra":    {sealed + "Content-Length: 0\r\n\r\n", "aaaaaaaa"},
	"error":    {"HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: %s\r\nResponse-Seal: seal\r\n\r\n", "aaaaaaaa"},
	"event":    {sealed + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "aaaaaaaa"},
	"comments": {sealed + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: 1\n\n", ": comment\n\n"},
}

// serveEndless sends bytes until the caller closes the connection.
func serveEndless(w http.ResponseWriter, r *http.Request) {
	sent := endless[path.Base(r.URL.Path)]
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	start := sent.start
	if strings.Contains(start, "%s") {
		start = fmt.Sprintf(start, r.Header.Get("Attempt-Id"))
	}
	if _, err := io.WriteString(conn, start); err != nil {
		return
	}
	block := strings.Repeat(sent.text, 1+64<<10/len(sent.text))
	for {
		if _, err := io.WriteString(conn, block); err != nil {
			return
		}
	}
}

// endlessClients is the number of clients for each kind of bytes.
const endlessClients = 25

// Guards against a process that keeps bytes that a server sends without end, in a head or in
// a body, and runs out of memory, or of processor time for ordinary clients. Half of the
// clients read what they get, the others don't.
func TestAnswersWithoutEnd(t *testing.T) {
	kinds := slices.Sorted(maps.Keys(endless))
	for _, route := range []string{"lookup", "order", "chat"} {
		t.Run(route, func(t *testing.T) {
			d := startEntry(t)
			var number atomic.Int32
			d.crowd(endlessClients*len(kinds), false, func(w io.Writer) error {
				n := int(number.Add(1))
				request := d.head("/endless/"+route+"/"+kinds[n%len(kinds)], "Content-Length: 0\r\nDeadline-Ms: 10000\r\nToken-Usage: 10,10\r\nPrompt-Prefix: aa:10")
				if _, err := w.Write(request); err != nil {
					return err
				}
				if conn := w.(net.Conn); n/len(kinds)%2 == 0 {
					_ = conn.SetReadDeadline(time.Now().Add(crowdTime))
					_, _ = io.Copy(io.Discard, conn)
				}
				return nil
			})
		})
	}
}
