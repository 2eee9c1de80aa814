package pipeline_test

import (
	"context"
	"testing"
	"time"

	"lycheecrank.example/catalogue"
	"lycheecrank.example/request"
)

// BenchmarkAdmission measures admitted requests whose steps return immediately,
// and a refused request.
func BenchmarkAdmission(b *testing.B) {
	for _, c := range []struct {
		name, target string
		d            time.Duration
	}{
		{"service", "lookup", time.Second},
		{"pipeline of three stages", "summary", time.Second},
		{"refused", "summary", time.Hour},
	} {
		b.Run(c.name, func(b *testing.B) {
			r := newRig()
			r.runner.OnDecision = nil
			current := catalogueOf(r.entries)
			r.runner.Catalogue = func() (catalogue.Catalogue, bool) { return current, true }
			r.runner.Execute = func(_ context.Context, step request.Step, _ request.Sink) (request.Result, error) {
				return request.Result{Identity: step.Identity()}, nil
			}
			b.ReportAllocs()
			for b.Loop() {
				q := newRequest(c.target)
				q.Deadline = q.Arrival.Add(c.d)
				r.runner.Run(context.Background(), q, nil)
			}
		})
	}
}
