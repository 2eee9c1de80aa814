package standin

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	controlv1 "lycheecrank.example/api/control/v1"
	"lycheecrank.example/api/control/v1/controlv1connect"
	"lycheecrank.example/standin/fault"
)

// Control sets the fault of a stand-in in another process and reads its counts.
// Concurrent calls are safe.
type Control struct {
	// SetFault replaces the fault; the zero fault ends it.
	SetFault func(ctx context.Context, f fault.Fault) error
	// Counts returns what the stand-in has counted.
	Counts func(ctx context.Context) (map[string]int64, error)
}

// NewControl returns a client for the stand-in at a base URL.
func NewControl(client *http.Client, baseURL string) *Control {
	c := controlClient{controlv1connect.NewControlServiceClient(client, baseURL)}
	return &Control{SetFault: c.setFault, Counts: c.counts}
}

type controlClient struct {
	service controlv1connect.ControlServiceClient
}

func (c controlClient) setFault(ctx context.Context, f fault.Fault) error {
	_, err := c.service.SetFault(ctx, connect.NewRequest(&controlv1.SetFaultRequest{Fault: asMessage(f)}))
	return eris.Wrap(err, "set fault")
}

func (c controlClient) counts(ctx context.Context) (map[string]int64, error) {
	res, err := c.service.GetCounts(ctx, connect.NewRequest(&controlv1.GetCountsRequest{}))
	if err != nil {
		return nil, eris.Wrap(err, "get counts")
	}
	return res.Msg.GetCounts(), nil
}

func asMessage(f fault.Fault) *controlv1.Fault {
	return &controlv1.Fault{
		Method:     f.Method,
		Remaining:  f.Remaining,
		DelayMs:    f.Delay.Milliseconds(),
		Fail:       f.Fail,
		LoseAnswer: f.LoseAnswer,
		Reorder:    f.Reorder,
		Repeat:     f.Repeat,
		CutShort:   f.CutShort,
		Freeze:     f.Freeze,
		Cold:       f.Cold,
		LagMs:      f.Lag.Milliseconds(),
		Down:       f.Down,
		Foreign:    f.Foreign,
		Leaving:    f.Leaving,
	}
}
