package console_test

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"lycheecrank.example/console"
)

// Guards against a request whose cause can't be found from the logs of a played
// day: lines of other requests, of several instances, out of order, with a
// collector's text before them, or cut short.
func TestTraces(t *testing.T) {
	is := is.New(t)
	log, err := os.ReadFile("testdata/playedDay.log")
	is.NoErr(err)
	lines := strings.SplitAfter(string(log), "\n")
	first := strings.Join(lines[len(lines)/2:], "")
	second := strings.Join(lines[:len(lines)/2], "")
	traces, err := console.Traces(
		[]string{"9a1c0a36972d1651", "fc0e1019743e48f0", "caf548a3d02ea06c", "unknown"},
		strings.NewReader(first), strings.NewReader(second+`{"event":405,"request":"9a1c`),
	)
	is.NoErr(err)
	var b bytes.Buffer
	for _, trace := range traces {
		trace.Write(&b)
	}
	encoder := json.NewEncoder(&b)
	encoder.SetIndent("", " ")
	is.NoErr(encoder.Encode(traces[2]))
	goldie.New(t).Assert(t, "traces", b.Bytes())
}
