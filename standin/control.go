package standin

import (
	"context"
	"maps"
	"net/http"
	"time"

	"connectrpc.com/connect"

	controlv1 "lycheecrank.example/api/control/v1"
	"lycheecrank.example/api/control/v1/controlv1connect"
	"lycheecrank.example/standin/fault"
	"lycheecrank.example/standin/work"
)

// newStandin adds ControlService to the services of a stand-in. The server is
// nil for the platform.
func newStandin(mux *http.ServeMux, o *obedience, b *backend) *Standin {
	s := &Standin{
		Handler:  mux,
		SetFault: o.commands.Set,
		Stop:     o.commands.Stop,
		Counts:   o.counts.Values,
		faults:   o.queries,
	}
	if b != nil {
		s.addBackend(o, b)
	}
	mux.Handle(controlv1connect.NewControlServiceHandler(controlHandler{s}))
	return s
}

func (s *Standin) addBackend(o *obedience, b *backend) {
	o.cool = b.commands.Cool
	s.Announce = b.announcer()
	s.SetFault = func(f fault.Fault) {
		o.commands.Set(f)
		b.commands.SetLeaving(f.Leaving)
		if f.Cold {
			b.commands.Cool()
		}
	}
	s.Stop = func() {
		b.commands.Stop()
		o.commands.Stop()
	}
	s.Counts = func() map[string]int64 {
		counts := o.counts.Values()
		maps.Copy(counts, work.NewQueries(b.table).Counts())
		return counts
	}
}

type controlHandler struct {
	standin *Standin
}

// SetFault replaces the fault of the stand-in.
func (h controlHandler) SetFault(_ context.Context, req *connect.Request[controlv1.SetFaultRequest]) (*connect.Response[controlv1.SetFaultResponse], error) {
	h.standin.SetFault(asFault(req.Msg.GetFault()))
	return connect.NewResponse(&controlv1.SetFaultResponse{}), nil
}

// GetCounts returns what the stand-in has counted.
func (h controlHandler) GetCounts(context.Context, *connect.Request[controlv1.GetCountsRequest]) (*connect.Response[controlv1.GetCountsResponse], error) {
	return connect.NewResponse(&controlv1.GetCountsResponse{Counts: h.standin.Counts()}), nil
}

func asFault(f *controlv1.Fault) fault.Fault {
	return fault.Fault{
		Method:     f.GetMethod(),
		Remaining:  f.GetRemaining(),
		Delay:      time.Duration(f.GetDelayMs()) * time.Millisecond,
		Fail:       f.GetFail(),
		LoseAnswer: f.GetLoseAnswer(),
		Reorder:    f.GetReorder(),
		Repeat:     f.GetRepeat(),
		CutShort:   f.GetCutShort(),
		Freeze:     f.GetFreeze(),
		Cold:       f.GetCold(),
		Lag:        time.Duration(f.GetLagMs()) * time.Millisecond,
		Down:       f.GetDown(),
		Foreign:    f.GetForeign(),
		Leaving:    f.GetLeaving(),
	}
}
