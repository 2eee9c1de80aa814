package bench

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
)

func golden(t *testing.T, name, text string) {
	t.Helper()
	goldie.New(t, goldie.WithNameSuffix(".golden")).Assert(t, name, []byte(text))
}

func readFile(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(name)
	is.New(t).NoErr(err)
	return data
}

func readLoad(t *testing.T, name string) Load {
	t.Helper()
	l, err := ReadLoad(readFile(t, name), name)
	is.New(t).NoErr(err)
	return l
}

// Guards against a load that runs with a part that was not meant: all faults
// are told at once, and unknown fields too.
func TestFaultyLoad(t *testing.T) {
	_, err := ReadLoad(readFile(t, "testdata/faulty.yaml"), "faulty.yaml")
	_, unknown := ReadLoad([]byte("name: x\nrate: 3\n"), "unknown.yaml")
	golden(t, "faulty", err.Error()+"\n"+unknown.Error()+"\n")
}

// Guards against examples that can't be used.
func TestExamples(t *testing.T) {
	is := is.New(t)
	files, err := os.ReadDir("../examples/load")
	is.NoErr(err)
	for _, f := range files {
		name := "../examples/load/" + f.Name()
		if strings.HasPrefix(f.Name(), "cell") {
			_, err = ReadCell(readFile(t, name), name)
		} else {
			_, err = ReadLoad(readFile(t, name), name)
		}
		is.NoErr(err)
	}
}

// Guards against two runs of the same seed that differ, which would make
// comparisons meaningless.
func TestSchedule(t *testing.T) {
	l := readLoad(t, "testdata/smoke.yaml")
	var out strings.Builder
	for _, p := range []Process{Steady, Bursts, Spring} {
		l.Arrivals.Process = p
		all := Schedule(l)
		fmt.Fprintf(&out, "%s: %d\n", p, len(all))
		for _, a := range all[:8] {
			fmt.Fprintf(&out, "%3d %v %s %s %s streamed=%t keyed=%t %.40q\n",
				a.Number, a.At.Round(time.Millisecond), a.Class, a.Workspace, a.Target, a.Streamed, a.Keyed, a.Input)
		}
	}
	golden(t, "schedule", out.String())
}

// Guards against a process whose mean rate or shape is not what the file says.
func TestRates(t *testing.T) {
	l := readLoad(t, "testdata/smoke.yaml").WithRate(200).WithDuration(100 * time.Second)
	var out strings.Builder
	for _, p := range []Process{Steady, Bursts, Spring} {
		l.Arrivals.Process = p
		fifths, burst := make([]int, 5), 0
		for _, a := range Schedule(l) {
			fifths[int(a.At/(20*time.Second))]++
			if a.At%time.Second >= 800*time.Millisecond {
				burst++
			}
		}
		fmt.Fprintf(&out, "%s: by fifth %v, in the last fifth of a second %d\n", p, fifths, burst)
	}
	golden(t, "rates", out.String())
}
