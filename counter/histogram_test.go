package counter_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"lycheecrank.example/counter"
)

// Guards against a histogram whose buckets don't add up or that loses durations
// outside its range, and against memory that grows with every label that requests name.
func TestHistograms(t *testing.T) {
	is := is.New(t)
	h := counter.NewHistograms("test.latency")
	for n := range 100 {
		h.Record("lookup", time.Duration(n+1)*time.Millisecond)
	}
	h.Record("draft", time.Hour)
	h.Record("draft", -time.Second)
	data, err := json.MarshalIndent(h.Values(), "", "  ")
	is.NoErr(err)
	goldie.New(t).Assert(t, "histograms", append(data, '\n'))
	for n := range 1000 {
		h.Record(fmt.Sprint("label", n), time.Millisecond)
	}
	values := h.Values()
	is.True(len(values) <= 65)
	total := int64(0)
	for _, l := range values {
		total += l.Count
	}
	is.Equal(total, int64(1102)) // each duration is counted once
}
