package console

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"lycheecrank.example/operator"
)

// Guards against an operator who can't see which requests are refused, why and since when,
// or takes an instance that doesn't answer for one that refuses none.
func TestQuarantines(t *testing.T) {
	is := is.New(t)
	var urls []string
	serve := func(text string) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, text) }))
		t.Cleanup(server.Close)
		urls = append(urls, server.URL)
	}
	serve(`{"beliefs":{"quarantine":[{"parts":["12ca","5f02"],"level":2,"since":"2026-12-05T08:00:00Z","nextProbeMs":12500,
		"evidence":[{"backendServer":"i-1/x","request":"r1","at":"2026-12-05T07:59:58Z"},{"backendServer":"i-2/y","request":"r2","at":"2026-12-05T07:59:59Z"}]}]}}`)
	serve(`{"beliefs":{"quarantine":[]}}`)
	serve(`no counters`)
	all, err := Quarantines(t.Context(), http.DefaultClient, time.Minute, urls)
	is.True(errors.Is(err, operator.ErrUnavailable))
	text := QuarantineTable(all)
	for i, url := range urls {
		text = strings.ReplaceAll(text, url, fmt.Sprint("instance-", i+1))
	}
	goldie.New(t).Assert(t, "quarantines", []byte(text))
}
