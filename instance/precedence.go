package instance

import (
	"context"
	"crypto/ed25519"
	"os"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/codec"
	"lycheecrank.example/dispatch"
	"lycheecrank.example/event"
	"lycheecrank.example/pipeline"
	"lycheecrank.example/precedence"
)

// PrecedenceStream is the stream of sealed decision records.
const PrecedenceStream = "precedence"

func (i *Instance) buildPrecedence() error {
	key, err := signingKey(i.Settings.Precedence.SigningKeyFile)
	if err != nil {
		return err
	}
	table := precedence.NewTable(i.self.Instance, i.self.Incarnation, i.Settings.Precedence.Buffer)
	i.decisions = table.Commands()
	sealer := precedence.Sealer{Encode: codec.Marshal, Decode: codec.Unmarshal}
	i.recorder = &precedence.Recorder{
		Table: table, SigningKey: key, Seal: sealer.Seal, Interval: i.Settings.Precedence.Interval,
		Append: func(ctx context.Context, data []byte) error {
			_, err := i.platformLog.Append(ctx, PrecedenceStream, data)
			return err
		},
		OnLost: func(count uint64) { i.Logger.Write(event.PrecedenceOverflow, count) },
	}
	return nil
}

// signingKey reads the key from a file, or generates one if no file is given.
func signingKey(file string) (ed25519.PrivateKey, error) {
	if file == "" {
		return precedence.GenerateKey()
	}
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read signing key")
	}
	key, err := precedence.ParseKey(pem)
	return key, eris.Wrap(err, file)
}

// startRecorder runs the recorder until the context ends and all records are in
// the log. The channel gets its error.
func (i *Instance) startRecorder(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	var group errgroup.Group
	group.Go(func() error {
		done <- i.recorder.Run(ctx)
		return nil
	})
	return done
}

// recordDispatch records a decision of the owner of a pool.
func (i *Instance) recordDispatch(d dispatch.Decision) {
	kind := precedence.Dispatch
	if d.Reason != "" {
		kind = precedence.Refusal
	}
	i.decisions.Add(precedence.Record{
		Kind: kind, RequestID: d.Step.RequestID, Workspace: d.Step.Workspace, RequestKey: d.Step.Key,
		Class: d.Step.Class, Rank: d.Step.Rank, Stage: d.Step.Stage, Pool: d.Step.Pool,
		Server: d.Server, Attempt: d.Step.Attempt, Arrival: d.EnqueuedAt, Deadline: d.Step.Deadline,
		DecidedAt: d.DecidedAt, Revision: d.Step.Revision, Reason: string(d.Reason), Waiting: d.Waiting,
	})
}

// recordRequest records a decision about a whole request.
func (i *Instance) recordRequest(d pipeline.Decision) {
	kinds := map[pipeline.DecisionKind]precedence.Kind{
		pipeline.Admission: precedence.Admission, pipeline.Refusal: precedence.Refusal,
		pipeline.Retry: precedence.Retry, pipeline.Finish: precedence.Finish,
	}
	r := d.Request
	outcome := ""
	if d.Outcome != 0 {
		outcome = d.Outcome.String()
	}
	i.decisions.Add(precedence.Record{
		Kind: kinds[d.Kind], RequestID: r.ExecutionID, Workspace: r.Workspace, Target: r.Target, RequestKey: r.Key,
		Class: r.Class, Rank: r.Rank, Arrival: r.Arrival, Deadline: r.Deadline, DecidedAt: d.At,
		Revision: r.Revision, Reason: string(d.Reason), Outcome: outcome,
	})
}
