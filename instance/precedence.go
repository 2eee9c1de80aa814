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

// PrecedenceStream is the name of the stream of signed decision records.
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
		OnLost: func(count uint64) { i.Logger.Write(event.PrecedenceRecordsLost, count) },
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

// startRecorder runs the recorder until the context ends and its records are
// appended. The returned channel receives the error of the recorder.
func (i *Instance) startRecorder(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	var group errgroup.Group
	group.Go(func() error {
		done <- i.recorder.Run(ctx)
		return nil
	})
	return done
}

// recordDispatch records a decision of this instance as the owner of a pool.
func (i *Instance) recordDispatch(decision dispatch.Decision) {
	kind := precedence.Dispatch
	if decision.Reason != "" {
		kind = precedence.Refusal
	}
	i.decisions.Add(precedence.Record{
		Kind: kind, RequestID: decision.Step.RequestID, Workspace: decision.Step.Workspace, RequestKey: decision.Step.Key,
		Class: decision.Step.Class, Rank: decision.Step.Rank, Stage: decision.Step.Stage, Pool: decision.Step.Pool,
		Server: decision.Server, Attempt: decision.Step.Attempt, Arrival: decision.EnqueuedAt, Deadline: decision.Step.Deadline,
		DecidedAt: decision.DecidedAt, Revision: decision.Step.Revision, Reason: string(decision.Reason), Waiting: decision.Waiting,
	})
}

// recordRequest records a decision about a request as a whole.
func (i *Instance) recordRequest(decision pipeline.Decision) {
	kinds := map[pipeline.DecisionKind]precedence.Kind{
		pipeline.Admission: precedence.Admission, pipeline.Refusal: precedence.Refusal,
		pipeline.Retry: precedence.Retry, pipeline.Finish: precedence.Finish,
	}
	request := decision.Request
	outcome := ""
	if decision.Outcome != 0 {
		outcome = decision.Outcome.String()
	}
	i.decisions.Add(precedence.Record{
		Kind: kinds[decision.Kind], RequestID: request.ExecutionID, Workspace: request.Workspace, Target: request.Target, RequestKey: request.Key,
		Class: request.Class, Rank: request.Rank, Arrival: request.Arrival, Deadline: request.Deadline, DecidedAt: decision.At,
		Revision: request.Revision, Reason: string(decision.Reason), Outcome: outcome,
	})
}
