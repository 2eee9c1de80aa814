package instance

import (
	"context"
	"crypto/sha256"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"lycheecrank.example/caller"
	"lycheecrank.example/claim"
	"lycheecrank.example/codec"
	"lycheecrank.example/event"
	"lycheecrank.example/pipeline"
	"lycheecrank.example/provider"
	"lycheecrank.example/request"
)

// finishLimit bounds how long an answer waits until its outcome is in the log.
// After that the append goes on in the background.
const finishLimit = 250 * time.Millisecond

// claimFollower returns the follower of a stream of claims.
func (i *Instance) claimFollower(n int) *follower {
	stream := claim.StreamName(n)
	begin := func(_ context.Context, page provider.Page) error {
		since := time.Now()
		if len(page.Records) > 0 {
			since = page.Records[0].AppendedAt
		}
		return i.claimCommands.SetNextOffset(stream, page.Earliest, since)
	}
	next := func() uint64 { return i.claimQueries.AppliedThrough(stream) + 1 }
	apply := func(records []provider.Record) error { return i.applyClaims(stream, records) }
	return i.follower(stream, begin, next, apply)
}

func (i *Instance) applyClaims(stream string, records []provider.Record) error {
	if len(records) == 0 {
		return nil
	}
	decoded := make([]claim.Record, len(records))
	for n, r := range records {
		if err := codec.Unmarshal(r.Data, &decoded[n]); err != nil {
			i.Logger.Write(event.LogRecordUnread, stream, r.Offset, err)
			decoded[n] = claim.Record{}
		}
	}
	return i.claimCommands.ApplyRecords(stream, records[0].Offset, decoded)
}

// readClaims applies the records of a stream of claims through its present end.
func (i *Instance) readClaims(ctx context.Context, stream string) error {
	for {
		page, err := i.platformLog.Read(ctx, stream, i.claimQueries.AppliedThrough(stream)+1)
		if err != nil {
			return err
		}
		if err := i.applyClaims(stream, page.Records); err != nil {
			return err
		}
		if i.claimQueries.AppliedThrough(stream)+1 >= page.Next {
			return nil
		}
		if len(page.Records) == 0 {
			return eris.Wrapf(provider.ErrUnavailable, "read %s: a page before the end is empty", stream)
		}
	}
}

// appendClaims appends records of claims in one append.
func (i *Instance) appendClaims(ctx context.Context, stream string, records []claim.Record) error {
	data, err := codec.MarshalAll(records)
	if err != nil {
		return errors.Join(claim.ErrNotAppended, err)
	}
	_, err = i.platformLog.Append(ctx, stream, data...)
	if errors.Is(err, provider.ErrRateLimited) {
		return errors.Join(claim.ErrNotAppended, err)
	}
	return err
}

// claim decides whether a request with a key may run.
func (i *Instance) claim(ctx context.Context, r request.Request) (pipeline.ClaimResult, error) {
	key, err := claim.ParseKey(r.Key)
	if err != nil {
		return pipeline.ClaimResult{}, request.Refuse(request.ReasonKeyMalformed, "the key is no UUIDv7")
	}
	ticket, err := i.claimer.Claim(ctx, key, r.Workspace, digestOf(r))
	var ran claim.AlreadyRanError
	if errors.As(err, &ran) {
		return pipeline.ClaimResult{StoredAnswer: storedAnswer(ran)}, nil
	}
	if err != nil {
		return pipeline.ClaimResult{}, err
	}
	return pipeline.ClaimResult{Finish: func(o request.Outcome, output []byte) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishLimit)
		defer cancel()
		if err := ticket.Finish(ctx, o, output); err != nil {
			i.Logger.Write(event.ClaimUndecided, r.Key, err)
		}
	}}, nil
}

// digestOf identifies what a request asks for, so that a key can't be used for
// two different requests.
func digestOf(r request.Request) claim.Digest {
	h := sha256.New()
	_, _ = h.Write([]byte(r.Target))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(r.Input)
	return claim.Digest(h.Sum(nil))
}

// storedAnswer is the answer to a repeat of a request that ran. The record holds
// no output above claim.MaxStoredResultBytes; an empty answer must not pass for it.
func storedAnswer(ran claim.AlreadyRanError) *request.Answer {
	a := &request.Answer{Outcome: request.Ran, Output: ran.Result.Output}
	if len(ran.Result.Output) != ran.Result.Length {
		a.Failure = outputNotKept()
	}
	return a
}

func outputNotKept() request.Failure {
	return request.Refuse(request.ReasonOutputNotKept, "the request ran, and its output is no longer kept").WithSent(true)
}

// keyStatus tells what became of a key.
func (i *Instance) keyStatus(ctx context.Context, workspace, text string) caller.KeyStatus {
	key, err := claim.ParseKey(text)
	if err != nil {
		return caller.KeyStatus{Outcome: request.MayHaveRun, Failure: request.Refuse(request.ReasonKeyMalformed, "the key is no UUIDv7")}
	}
	status := i.statusOf(key, workspace)
	if status.Outcome != request.NotRun {
		return status
	}
	// Another instance may have claimed the key in a record that has not arrived
	// here, so that only the end of the stream shows that the key didn't run.
	if err := i.readClaims(ctx, claim.StreamName(claim.StreamOf(key))); err != nil {
		return caller.KeyStatus{Outcome: request.MayHaveRun, Failure: request.Refuse(request.ReasonClaimLogUnavailable, "the claims of the key can't be read now")}
	}
	return i.statusOf(key, workspace)
}

// statusOf tells what became of a key by the records that this instance has.
func (i *Instance) statusOf(key claim.Key, workspace string) caller.KeyStatus {
	state, known := i.claimQueries.State(key)
	_, stands := state.ActiveClaim()
	switch {
	case !i.claimQueries.HasAllRecords(key):
		return caller.KeyStatus{Outcome: request.MayHaveRun, Failure: request.Refuse(request.ReasonKeyOutsideWindow, "this instance has not read all claims from the time of the key")}
	case !state.BelongsTo(workspace):
		return caller.KeyStatus{Outcome: request.MayHaveRun, Failure: request.Refuse(request.ReasonKeyMismatch, "the key belongs to another workspace")}
	case !known || !stands:
		return caller.KeyStatus{Outcome: request.NotRun}
	case state.Outcome() == request.Ran:
		stored := storedAnswer(claim.AlreadyRanError{Result: state.Result()})
		return caller.KeyStatus{Outcome: request.Ran, Output: stored.Output, Failure: stored.Failure}
	default:
		return caller.KeyStatus{Outcome: request.MayHaveRun, Running: state.Outcome() == 0}
	}
}
