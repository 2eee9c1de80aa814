package scenario

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// startLimit bounds the start of a process. It is no promise; it only ends a
	// script whose process hangs.
	startLimit = 30 * time.Second
	// exitLimit is above the longest graceful shutdown: 3 s for the balancer and
	// 30 s for requests in flight, by the default settings.
	exitLimit = 40 * time.Second
)

// process is a process that a script has started.
type process struct {
	command *exec.Cmd
	logFile string
	// ready gets the words after "ready" in the process's first line.
	ready chan []string
	// exited is closed once the process has ended.
	exited chan struct{}
}

// start NAME PROGRAM ARGS... starts a process and waits for its ready line.
func start(s *scene, args []string) (string, error) {
	if len(args) < 2 {
		return "", eris.New("usage: start NAME PROGRAM ARGS...")
	}
	name := args[0]
	if p, ok := s.processes[name]; ok && !p.hasExited() {
		return "", eris.Errorf("%s runs already", name)
	}
	p, err := s.launch(name, args[1], args[2:])
	if err != nil {
		return "", err
	}
	s.processes[name] = p
	timer := time.NewTimer(startLimit)
	defer timer.Stop()
	select {
	case words := <-p.ready:
		s.setAddress(name, words[0])
		if len(words) > 1 {
			s.setenv(variable(name)+"_PEER", words[1])
		}
		return "", nil
	case <-p.exited:
		return "", eris.Errorf("%s ended before it was ready: %s", name, p.command.ProcessState)
	case <-timer.C:
		return "", eris.Errorf("%s was not ready within %s", name, startLimit)
	}
}

func (s *scene) launch(name, program string, args []string) (*process, error) {
	p := &process{
		command: exec.Command(filepath.Join(programs, program), args...),
		logFile: s.path(name + ".log"), ready: make(chan []string, 1), exited: make(chan struct{}),
	}
	out, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p.command.Dir, p.command.Stderr = s.workDir, out
	// The processes end with the test process even if that is killed.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stdout, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	s.group.Go(func() error {
		defer close(p.exited)
		p.readOutput(stdout)
		_ = p.command.Wait()
		return out.Close()
	})
	return p, nil
}

// readOutput takes the ready line and drops the rest.
func (p *process) readOutput(stdout io.Reader) {
	lines := bufio.NewScanner(stdout)
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		if len(words) > 1 && words[0] == "ready" {
			select {
			case p.ready <- words[1:]:
			default:
			}
		}
	}
}

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// kill ends the process, also a stopped one, and waits for its end.
func (p *process) kill() {
	if !p.hasExited() {
		_ = p.command.Process.Kill()
	}
	<-p.exited
}

var signals = map[string]syscall.Signal{
	"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
}

// sendSignal (signal NAME TERM|KILL|STOP|CONT) sends a signal to a process.
func sendSignal(s *scene, args []string) (string, error) {
	if len(args) != 2 {
		return "", eris.New("usage: signal NAME TERM|KILL|STOP|CONT")
	}
	p, ok := s.processes[args[0]]
	number, known := signals[args[1]]
	if !ok || !known || p.hasExited() {
		return "", eris.Errorf("no process %s or no signal %s", args[0], args[1])
	}
	return "", p.command.Process.Signal(number)
}

// awaitExit (await-exit NAME [CODE]) waits for the end of a process and prints
// its exit code; -1 stands for a signal.
func awaitExit(s *scene, args []string) (string, error) {
	if len(args) == 0 || len(args) > 2 {
		return "", eris.New("usage: await-exit NAME [CODE]")
	}
	p, ok := s.processes[args[0]]
	if !ok {
		return "", eris.Errorf("no process %s", args[0])
	}
	timer := time.NewTimer(exitLimit)
	defer timer.Stop()
	select {
	case <-p.exited:
	case <-timer.C:
		return "", eris.Errorf("%s had not ended after %s", args[0], exitLimit)
	}
	code := strconv.Itoa(p.command.ProcessState.ExitCode())
	if len(args) == 2 && args[1] != code {
		return "", eris.Errorf("%s ended with %s, want %s", args[0], p.command.ProcessState, args[1])
	}
	return code + "\n", nil
}

// writeSettings (settings NAME DATACENTRE PLATFORM [SECTION.FIELD=VALUE...])
// writes the settings of an instance to NAME.yaml.
func writeSettings(s *scene, args []string) (string, error) {
	if len(args) < 3 {
		return "", eris.New("usage: settings NAME DATACENTRE PLATFORM [SECTION.FIELD=VALUE...]")
	}
	address, err := s.address(args[2])
	if err != nil {
		return "", err
	}
	sections := map[string][]string{
		"instance": {"name: " + args[0], "dataCentre: " + args[1]},
		"listen":   {`callers: "127.0.0.1:0"`, `peers: "127.0.0.1:0"`},
	}
	for _, field := range []string{"log", "instances"} {
		sections["platform"] = append(sections["platform"], fmt.Sprintf("%s: %q", field, "http://"+address))
	}
	for _, a := range args[3:] {
		path, value, ok := strings.Cut(a, "=")
		section, field, dotted := strings.Cut(path, ".")
		if !ok || !dotted {
			return "", eris.Errorf("%q is no SECTION.FIELD=VALUE", a)
		}
		sections[section] = append(sections[section], field+": "+value)
	}
	var out strings.Builder
	for section, fields := range sections {
		fmt.Fprintf(&out, "%s: {%s}\n", section, strings.Join(fields, ", "))
	}
	return "", os.WriteFile(s.path(args[0]+".yaml"), []byte(out.String()), 0o600)
}
