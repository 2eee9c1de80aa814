package entry

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/feed"
	"lycheecrank.example/platform"
)

// Guards against a grace period that a step of the wall clock extends or shortens: a time
// that is kept as nanoseconds since the Unix epoch loses its monotonic reading. A test can't
// step the clock, so the calls are looked for in the source.
func TestDeadlinesUseMonotonicClock(t *testing.T) {
	files, err := os.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if !strings.HasSuffix(file.Name(), ".go") || strings.HasSuffix(file.Name(), "_test.go") {
			continue
		}
		set := token.NewFileSet()
		parsed, err := parser.ParseFile(set, file.Name(), nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(parsed, func(n ast.Node) bool {
			selector, ok := n.(*ast.SelectorExpr)
			if ok && (selector.Sel.Name == "UnixNano" || selector.Sel.Name == "Unix") {
				t.Errorf("%s: %s", set.Position(n.Pos()), selector.Sel.Name)
			}
			return true
		})
	}
}

// Guards against a grace period or a shutdown whose length differs from its constant.
func TestInstants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		i := New(platform.Settings{Name: "n1", DataCentre: "a", PeerAddress: "n1:1"}, io.Discard)
		defer func() { is.NoErr(i.Logger.Close()) }()
		i.SinceBoot = func() time.Duration { return time.Since(i.startedAt) }
		is.Equal(i.leavingFor(), time.Duration(0))
		i.leavingAt.Store(i.instant(time.Now()))
		is.True(i.isLeaving())
		time.Sleep(3 * time.Second)
		is.Equal(i.leavingFor().Round(time.Millisecond), 3*time.Second)

		i.addRead(platform.ServerStream, feed.Batch{End: 1}, time.Now())
		time.Sleep(unavailableAge)
		i.recordReadFailure(time.Now(), i.lastBreak().Count)
		time.Sleep(time.Second)
		i.addRead(platform.ServerStream, feed.Batch{End: 2, Records: []feed.Record{{Key: "s1", Offset: 1, Value: []byte(serverEntry("ready", ""))}}}, time.Now())
		is.True(!i.serverRemoval("s1", time.Now().Add(lapseGrace-time.Millisecond)).IsRemoved)
		is.True(i.serverRemoval("s1", time.Now().Add(lapseGrace)).IsRemoved)
	})
}
