package standin

import (
	"context"
	"errors"
	"fmt"

	"connectrpc.com/connect"

	"lycheecrank.example/provider"
	"lycheecrank.example/standin/work"
)

var errFault = errors.New("failed by a fault of the stand-in")

func errDown() error {
	return connect.NewError(connect.CodeUnavailable, errors.New("down"))
}

// refusal maps an error of work.Commands.Begin: the work had no effect. The
// message starts with "cold:" if the server is cold, and with "leaving:" if it
// stops.
func (b *backend) refusal(err error) error {
	switch {
	case errors.Is(err, work.ErrCold), errors.Is(err, work.ErrFellOver):
		return connect.NewError(connect.CodeUnavailable, b.named("cold: %s of pool %s fell over"))
	case errors.Is(err, work.ErrLeaving):
		return connect.NewError(connect.CodeUnavailable, b.named("leaving: %s of pool %s stops"))
	case errors.Is(err, work.ErrOverloaded):
		return connect.NewError(connect.CodeResourceExhausted, b.named("overloaded: %s of pool %s has its full load"))
	}
	return failure(err)
}

// codes maps the errors of work that had begun and of the platform's store.
var codes = []struct {
	err  error
	code connect.Code
}{
	{work.ErrFellOver, connect.CodeInternal},
	{work.ErrTakenOver, connect.CodeAborted},
	{work.ErrCancelled, connect.CodeCanceled},
	{work.ErrUnknown, connect.CodeNotFound},
	{work.ErrFenced, connect.CodeFailedPrecondition},
	{work.ErrCorrupt, connect.CodeInvalidArgument},
	{provider.ErrExpired, connect.CodeOutOfRange},
	{provider.ErrRateLimited, connect.CodeResourceExhausted},
	{context.DeadlineExceeded, connect.CodeDeadlineExceeded},
	{context.Canceled, connect.CodeCanceled},
}

func (b *backend) named(format string) error {
	return fmt.Errorf(format, b.options.Name, b.options.Pool)
}

// failure maps an error of work that may have had an effect.
func failure(err error) error {
	var connected *connect.Error
	if err == nil || errors.As(err, &connected) {
		return err
	}
	for _, c := range codes {
		if errors.Is(err, c.err) {
			return connect.NewError(c.code, err)
		}
	}
	return connect.NewError(connect.CodeUnknown, err)
}

func invalid(format string, values ...any) error {
	return connect.NewError(connect.CodeInvalidArgument, fmt.Errorf(format, values...))
}
