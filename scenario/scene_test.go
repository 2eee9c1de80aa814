package scenario

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/lock"
	"lycheecrank.example/standin/link"
)

// The ranks of the locks of this package are above those of the product, some of
// whose code runs in the same process. A scene's lock comes before that of a
// link, balancer or load.
const (
	rankScene = lock.RankCounter + 10
	rankPart  = lock.RankCounter + 11
)

// scene is the table of what one script has started. Scripts use it from one
// goroutine; the lock protects what loads read.
type scene struct {
	// ctx ends with the script.
	ctx     context.Context
	workDir string
	// group has the goroutines of the scene.
	group  errgroup.Group
	client *http.Client
	// getenv and setenv reach the script's variables.
	getenv func(string) string
	setenv func(name, value string)

	processes map[string]*process
	links     map[string]*link.Link
	loads     map[string]*load
	sent      map[string]*pending
	noted     map[string]int64
	// verdictAt is when the last edit of the catalogue was accepted.
	verdictAt time.Time

	mu        *lock.Ranked
	addresses map[string]string
}

func newScene(ctx context.Context, workDir string) *scene {
	return &scene{
		ctx: ctx, workDir: workDir,
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		processes: map[string]*process{}, links: map[string]*link.Link{}, loads: map[string]*load{},
		sent: map[string]*pending{}, noted: map[string]int64{},
		mu: lock.New(rankScene, "scene"), addresses: map[string]string{},
	}
}

// end ends what the script has started. The scene's context has ended before.
func (s *scene) end() {
	for _, p := range s.processes {
		p.kill()
	}
	for _, l := range s.links {
		l.Close()
	}
	_ = s.group.Wait()
	s.client.CloseIdleConnections()
}

// path returns the path of a file of the script.
func (s *scene) path(file string) string {
	if filepath.IsAbs(file) {
		return file
	}
	return filepath.Join(s.workDir, file)
}

// expanded returns a file with the script's variables filled in.
func (s *scene) expanded(file string) ([]byte, error) {
	data, err := os.ReadFile(s.path(file))
	if err != nil {
		return nil, err
	}
	return []byte(os.Expand(string(data), s.getenv)), nil
}

// setAddress enters an address under a name and in the variable NAME_ADDR.
func (s *scene) setAddress(name, address string) {
	s.mu.Lock()
	s.addresses[name] = address
	s.mu.Unlock()
	s.setenv(variable(name)+"_ADDR", address)
}

// address returns the address of a process or link, or a text that is an address
// already.
func (s *scene) address(name string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a, ok := s.addresses[name]; ok {
		return a, nil
	}
	if strings.Contains(name, ":") {
		return name, nil
	}
	return "", eris.Errorf("no process or link is called %s", name)
}

// variable returns the start of the names of a process's variables.
func variable(name string) string {
	return strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// maxLogLines is how many lines of each process's log a failed script prints.
const maxLogLines = 40

// logs returns the ends of the logs of all processes.
func (s *scene) logs() string {
	var out strings.Builder
	for name, p := range s.processes {
		data, _ := os.ReadFile(p.logFile)
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		lines = lines[max(0, len(lines)-maxLogLines):]
		out.WriteString("log of " + name + ":\n" + strings.Join(lines, "\n") + "\n")
	}
	return out.String()
}

// pause waits until a time has passed or the script ends.
func (s *scene) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.ctx.Done():
	}
}
