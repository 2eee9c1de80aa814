package bench

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/instance"
	"lycheecrank.example/settings"
)

// errNoKill is returned for an instance inside this process, which can't be
// killed without a drain.
var errNoKill = errors.New("only instances in processes of their own can be killed")

// Running is an instance that was started.
type Running struct {
	Name       string
	DataCentre string
	// Address is where callers connect.
	Address string
	// PID is the process of the instance; 0 for this one.
	PID int
	// Stop drains the instance and waits for its end.
	Stop func() error
	// Kill ends the instance without a drain.
	Kill func() error
}

// InstanceSettings returns the settings of an instance as YAML.
func InstanceSettings(name, dataCentre, platformURL, interval string) string {
	return fmt.Sprintf(`
instance: {name: %s, dataCentre: %s}
listen: {callers: "127.0.0.1:0", peers: "127.0.0.1:0"}
platform: {log: %[3]q, instances: %[3]q}
drain: {balancerLag: 2s}
precedence: {interval: %[4]s}
log: {level: warn}
`, name, dataCentre, platformURL, interval)
}

// LaunchHere starts an instance in this process.
func LaunchHere(ctx context.Context, text string, logs io.Writer) (Running, error) {
	s, err := settings.Read([]byte(text), "settings")
	if err != nil {
		return Running{}, err
	}
	i, err := instance.New(s, logs)
	if err != nil {
		return Running{}, err
	}
	ready := make(chan string, 1)
	i.OnReady = func(callers, _ string) { ready <- callers }
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	var group errgroup.Group
	group.Go(func() error {
		defer close(ready)
		return i.Run(running)
	})
	r := Running{Name: s.Instance.Name, DataCentre: s.Instance.DataCentre, Address: <-ready}
	r.Stop = func() error {
		stop()
		return group.Wait()
	}
	r.Kill = func() error { return errNoKill }
	if r.Address == "" {
		return r, errors.Join(eris.Errorf("instance %s did not start", r.Name), r.Stop())
	}
	return r, nil
}

// LaunchProcess returns a launcher that starts this program once more for each
// instance, with the arguments and the settings on its standard input.
func LaunchProcess(args ...string) func(ctx context.Context, text string, logs io.Writer) (Running, error) {
	return func(_ context.Context, text string, logs io.Writer) (Running, error) {
		s, err := settings.Read([]byte(text), "settings")
		if err != nil {
			return Running{}, err
		}
		command := exec.Command("/proc/self/exe", args...)
		command.Stdin, command.Stderr = strings.NewReader(text), logs
		out, err := command.StdoutPipe()
		if err != nil {
			return Running{}, err
		}
		if err := command.Start(); err != nil {
			return Running{}, eris.Wrap(err, "start instance")
		}
		line, _ := bufio.NewReader(out).ReadString('\n')
		address, ok := strings.CutPrefix(strings.TrimSpace(line), "ready ")
		r := Running{Name: s.Instance.Name, DataCentre: s.Instance.DataCentre, Address: address, PID: command.Process.Pid}
		r.Kill = func() error { return errors.Join(command.Process.Kill(), ignoreExit(command.Wait())) }
		r.Stop = func() error {
			if command.ProcessState != nil {
				return nil
			}
			return errors.Join(command.Process.Signal(syscall.SIGTERM), ignoreExit(command.Wait()))
		}
		if !ok {
			return r, errors.Join(eris.Errorf("instance %s did not start: %s", r.Name, line), r.Kill())
		}
		return r, nil
	}
}

// ignoreExit drops the status of an instance: a drain that cut off requests
// shows in the result of the load.
func ignoreExit(err error) error {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return nil
	}
	return err
}

// ServeInstance runs one instance with the settings from a reader until the
// context ends, and prints "ready ADDRESS" once it listens.
func ServeInstance(ctx context.Context, in io.Reader, out, logs io.Writer) error {
	data, err := io.ReadAll(in)
	if err != nil {
		return err
	}
	s, err := settings.Read(data, "settings")
	if err != nil {
		return err
	}
	i, err := instance.New(s, logs)
	if err != nil {
		return err
	}
	i.OnReady = func(callers, _ string) { fmt.Fprintln(out, "ready", callers) }
	return i.Run(ctx)
}

// ticksPerSecond is the unit of processor times in /proc, fixed on Linux.
const ticksPerSecond = 100

// Usage is what a process has used so far.
type Usage struct {
	CPU time.Duration
	// ResidentBytes is the memory of the process; HighBytes its largest so far.
	ResidentBytes int64
	// TransferBytes is what it has read and written, nearly all of it on
	// sockets.
	ReadBytes    int64
	WrittenBytes int64
}

// UsageOf reads the usage of a process from /proc.
func UsageOf(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, eris.Wrap(err, "usage")
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 22 {
		return Usage{}, eris.New("usage: short stat")
	}
	u := Usage{
		CPU:           time.Duration(number(fields[11])+number(fields[12])) * time.Second / ticksPerSecond,
		ResidentBytes: number(fields[21]) * int64(os.Getpagesize()),
	}
	transfers, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return u, eris.Wrap(err, "usage")
	}
	for line := range strings.Lines(string(transfers)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		switch name {
		case "rchar":
			u.ReadBytes = number(value)
		case "wchar":
			u.WrittenBytes = number(value)
		}
	}
	return u, nil
}

func number(s string) int64 {
	var n int64
	_, _ = fmt.Sscan(s, &n)
	return n
}
