package operator_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/backend"
	"lycheecrank.example/catalogue"
	"lycheecrank.example/dispatch"
	"lycheecrank.example/member"
	"lycheecrank.example/operator"
)

// Guards against a field that gets lost between an instance and the command
// line, and against a refused hold that looks like an outage.
func TestClientAndHandler(t *testing.T) {
	is := is.New(t)
	ends := time.Date(2026, 3, 2, 8, 15, 0, 0, time.UTC)
	status := operator.Status{
		Instance: "espoo-1", Incarnation: "i1", DataCentre: "espoo", CatalogueRevision: 7, CatalogueOffset: 9, Leaving: true,
		LogContactAge: 1500 * time.Millisecond,
		Members:       []member.Instance{{Name: "espoo-2", DataCentre: "espoo", Address: "127.0.0.1:1", IsLeaving: true, IsReachable: true}},
		Servers: []operator.Server{{Limit: 4, Server: backend.Server{
			Spec: backend.Spec{Name: "s1", Pool: "models", DataCentre: "espoo"}, Warmth: backend.Warming, InFlight: 2, ReportedLeaving: true,
		}}},
		Queues:     []dispatch.Depth{{Pool: "models", Class: "recall", Waiting: 3}},
		Ownerships: []operator.Ownership{{Pool: "models", DataCentre: "espoo", Term: 5, LeaseValid: true}},
		Holds:      []catalogue.Hold{{DataCentre: "vantaa", Operator: "aino", EndsAt: ends}},
	}
	handler := &operator.Handler{
		Status: func(context.Context) operator.Status { return status },
		Hold: func(_ context.Context, dataCentre, by string, d time.Duration) (time.Time, error) {
			is.Equal([]any{dataCentre, by, d}, []any{"vantaa", "aino", time.Minute})
			if ends.IsZero() {
				return ends, errors.New("no such data centre")
			}
			return ends, nil
		},
	}
	mux := http.NewServeMux()
	for path, h := range handler.Routes() {
		mux.Handle(path, h)
	}
	server := httptest.NewServer(mux)
	defer server.Close()
	client := operator.NewClient(server.Client(), server.URL)
	got, err := client.Status(t.Context())
	is.NoErr(err)
	is.Equal(got, status)
	held, err := client.Hold(t.Context(), "vantaa", "aino", time.Minute)
	is.NoErr(err)
	is.Equal(held, ends)
	ends = time.Time{}
	_, err = client.Hold(t.Context(), "vantaa", "aino", time.Minute)
	is.True(errors.Is(err, operator.ErrRefused))
	server.Close()
	_, err = client.Status(t.Context())
	is.True(errors.Is(err, operator.ErrUnavailable))
}
