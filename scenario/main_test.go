package scenario

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// atOnce is how many scripts run at a time. Each one has up to 15 processes, and
// more of them would slow each other down on 10 cores.
const atOnce = "4"

var update = flag.Bool("update", false, "rewrite the expected output in the scripts")

// programs is the folder with the built programs.
var programs string

func TestMain(m *testing.M) {
	flag.Parse()
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

func buildAndRun(m *testing.M) (int, error) {
	if err := flag.Set("test.parallel", atOnce); err != nil {
		return 0, err
	}
	folder, err := os.MkdirTemp("", "lycheecrank-scenario")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	programs = folder
	build := exec.Command("go", "build", "-o", folder+string(filepath.Separator),
		"lycheecrank.example/cmd/lycheecrank", "lycheecrank.example/cmd/lycheestand")
	if out, err := build.CombinedOutput(); err != nil {
		return 0, fmt.Errorf("build the programs: %w\n%s", err, out)
	}
	return m.Run(), nil
}

// TestScenarios runs every script of testdata. Each script says at its top which
// failure it guards against.
func TestScenarios(t *testing.T) { runScripts(t, "testdata") }

// KNOWN-RED.txt lists it; a script moves to testdata with the repair.

func runScripts(t *testing.T, folder string) {
	t.Helper()
	testscript.Run(t, testscript.Params{
		Dir: folder, Setup: setup, Cmds: scriptCommands(),
		UpdateScripts: *update, RequireUniqueNames: true,
	})
}

// sceneKey is the key of a script's scene in its environment.
type sceneKey struct{}

func setup(env *testscript.Env) error {
	files, err := filepath.Glob("testdata/common/*")
	if err != nil {
		return err
	}
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(env.WorkDir, filepath.Base(f)), data, 0o600); err != nil {
			return err
		}
	}
	env.Setenv("PATH", programs+string(filepath.ListSeparator)+env.Getenv("PATH"))
	ctx, stop := context.WithCancel(context.Background())
	s := newScene(ctx, env.WorkDir)
	env.Values[sceneKey{}] = s
	t, _ := env.T().(testing.TB)
	env.Defer(func() {
		stop()
		s.end()
		if t != nil && t.Failed() {
			t.Log(s.logs())
		}
	})
	return nil
}

// scriptCommands returns the commands of scripts. A failure goes to stderr of the
// script if the script expects it.
func scriptCommands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	all := map[string]func(ts *testscript.TestScript, neg bool, args []string){}
	for name, c := range verbs() {
		all[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			s := ts.Value(sceneKey{}).(*scene)
			s.getenv, s.setenv = ts.Getenv, ts.Setenv
			out, err := c(s, args)
			_, _ = fmt.Fprint(ts.Stdout(), out)
			switch {
			case err != nil && neg:
				_, _ = fmt.Fprintln(ts.Stderr(), err)
			case err != nil:
				ts.Fatalf("%s: %v", name, err)
			case neg:
				ts.Fatalf("%s succeeded against expectation", name)
			}
		}
	}
	return all
}

// verb is a command of scripts. It returns what it prints.
type verb func(s *scene, args []string) (string, error)

// verbs returns the commands that change the scene and the queries, which change
// nothing and may be repeated until they print what is expected.
func verbs() map[string]verb {
	all := map[string]verb{
		"settings": writeSettings, "start": start, "signal": sendSignal, "await-exit": awaitExit,
		"link": addLink, "cut": cut, "heal": heal, "slow": slow, "hang": hang,
		"catalogue": submit, "fault": setFault, "key": newKey,
		"load": startLoad, "load-stop": stopLoad, "load-more": awaitMore,
		"bound-passed": awaitBound, "note": note, "eventually": eventually, "frame": sendFrame,
		"send": sendOnly, "answer": answer,
	}
	for name, q := range queries() {
		all[name] = q
	}
	return all
}

func queries() map[string]verb {
	return map[string]verb{
		"run": run, "outcome": outcome, "get": get, "post": post, "status": status,
		"counts": counts, "unchanged": unchanged, "owner": owner, "load-progress": progress, "load-result": result, "accounted": accounted,
	}
}
