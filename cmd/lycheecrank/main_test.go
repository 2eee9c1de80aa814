package main

import (
	"errors"
	"io"
	"os"
	"os/exec"
	"runtime/debug"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"lycheecrank.example/entry"
	"lycheecrank.example/hedge"
	"lycheecrank.example/platform"
)

// hangupVariable makes the process send itself SIGHUP while its packages are initialized.
const hangupVariable = "LYCHEECRANK_TEST_HANGUP"

var _ = sendHangup()

func sendHangup() error {
	if os.Getenv(hangupVariable) == "" {
		return nil
	}
	return syscall.Kill(os.Getpid(), syscall.SIGHUP)
}

// Guards against a process that SIGHUP ends before its main function has run.
func TestHangupDuringStart(t *testing.T) {
	is := is.New(t)
	command := exec.Command(os.Args[0], "-test.run=^$")
	command.Env = append(os.Environ(), hangupVariable+"=1")
	is.NoErr(command.Run())
}

// Guards against a collector that doesn't know the memory of the process: a
// coordinator on a machine with 144 MB was ended five times in a day.
func TestMemoryLimit(t *testing.T) {
	is := is.New(t)
	before := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(before)
	limitMemory(0)
	is.Equal(debug.SetMemoryLimit(-1), before)
	limitMemory(100 << 20)
	is.Equal(debug.SetMemoryLimit(-1), int64(55<<20))
}

// Guards against a share of second sends out of range that is taken over, or refused
// without saying what is allowed, by the program or by the instance.
func TestHedgeShare(t *testing.T) {
	for _, share := range []string{"0.11", "-0.01", "NaN", "+Inf", "a tenth"} {
		t.Run(share, func(t *testing.T) {
			is := is.New(t)
			command := newCommand()
			command.Writer, command.ErrWriter = io.Discard, io.Discard
			err := command.Run(t.Context(), []string{"lycheecrank", "entry", "--hedge-share=" + share})
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), "hedge-share"))
		})
	}
	is := is.New(t)
	i := entry.New(platform.Settings{}, io.Discard)
	i.HedgeShare = 0.11
	is.True(errors.Is(i.Run(t.Context()), hedge.ErrShare))
}
