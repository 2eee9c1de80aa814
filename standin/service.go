package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"connectrpc.com/connect"

	servicev1 "lycheecrank.example/api/service/v1"
	"lycheecrank.example/api/service/v1/servicev1connect"
	"lycheecrank.example/standin/work"
)

// lookup is the operation that reads totals.
const lookup = "lookup"

// NewService returns a plain service. The operation "lookup" (or none) returns
// the totals of the subject that the input names, or all totals. Any other
// operation, such as "fileRecall" or "registerTally", adds a number to a total;
// its input is a subject, optionally followed by a space and the number, which
// is 1 if it is left out.
func NewService(o BackendOptions) *Standin {
	h := &serviceHandler{newBackend(o)}
	mux := http.NewServeMux()
	mux.Handle(servicev1connect.NewPlainServiceHandler(h, h.obey()))
	s := newStandin(mux, h.obedience, h.backend)
	s.Totals = func() []work.Total { return h.state.Lookup("") }
	return s
}

type serviceHandler struct {
	*backend
}

// Call executes an operation.
func (h *serviceHandler) Call(ctx context.Context, req *connect.Request[servicev1.CallRequest]) (*connect.Response[servicev1.CallResponse], error) {
	m := req.Msg
	output, err := h.execute(ctx, func() []byte {
		if m.GetOperation() == "" || m.GetOperation() == lookup {
			return encodeTotals(h.state.Lookup(string(m.GetInput())))
		}
		subject, n := parseFiling(string(m.GetInput()))
		return encodeTotals([]work.Total{h.commands.File(m.GetKey(), m.GetOperation(), subject, n)})
	})
	if err != nil {
		return nil, err
	}
	r := newResult(ctx, work.Identity{RequestID: m.GetRequestId(), Stage: m.GetStage(), Attempt: m.GetAttempt()}, output)
	return connect.NewResponse(&servicev1.CallResponse{
		RequestId:   r.id.RequestID,
		Stage:       r.id.Stage,
		Attempt:     r.id.Attempt,
		Incarnation: h.incarnation,
		Output:      r.output,
		LengthBytes: r.length,
		Sha256:      r.sha256,
	}), nil
}

// Load reports the load of some time ago.
func (h *serviceHandler) Load(ctx context.Context, _ *connect.Request[servicev1.LoadRequest]) (*connect.Response[servicev1.LoadResponse], error) {
	l := h.load(ctx)
	return connect.NewResponse(&servicev1.LoadResponse{
		Incarnation:      h.incarnation,
		Running:          uint32(l.Running),
		Leaving:          l.Leaving,
		Cold:             l.Cold(),
		MeasuredAtUnixMs: l.At.UnixMilli(),
	}), nil
}

// parseFiling splits an input into its subject and its number.
func parseFiling(input string) (subject string, n int64) {
	input = strings.TrimSpace(input)
	if i := strings.LastIndexByte(input, ' '); i > 0 {
		if n, err := strconv.ParseInt(input[i+1:], 10, 64); err == nil {
			return strings.TrimSpace(input[:i]), n
		}
	}
	return input, 1
}

func encodeTotals(totals []work.Total) []byte {
	// A total has only strings and numbers, which can't fail to encode.
	output, _ := json.Marshal(totals)
	return output
}
