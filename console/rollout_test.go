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

// Guards against an operator who can't see how far a rollout is and why it ended, or takes
// an instance that doesn't answer for one without rollouts.
func TestRollouts(t *testing.T) {
	is := is.New(t)
	var urls []string
	for _, text := range []string{
		`{"beliefs":{"rollouts":[{"pool":"chat","to":"v2","phase":"rolledBack","share":0.03,"elapsedMs":4200,"listed":140,"trial":4,
			"responses":31,"bad":7,"oldResponses":1200,"oldBad":3,"reason":"chat: 7 of 31 responses bad, 3 of 1200 of the old version"}]}}`,
		`{"beliefs":{"rollouts":[]}}`,
		`no counters`,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, text) }))
		t.Cleanup(server.Close)
		urls = append(urls, server.URL)
	}
	all, err := Rollouts(t.Context(), http.DefaultClient, time.Minute, urls)
	is.True(errors.Is(err, operator.ErrUnavailable))
	text := RolloutTable(all)
	for i, url := range urls {
		text = strings.ReplaceAll(text, url, fmt.Sprint("instance-", i+1))
	}
	goldie.New(t).Assert(t, "rollouts", []byte(text))
}
