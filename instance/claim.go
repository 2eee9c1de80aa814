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

// finishTimeout bounds how long an answer is delayed until its outcome is in the log.
// A longer append continues in the background.
const finishTimeout = 250 * time.Millisecond

// claimFollower returns the follower of a stream of claims.
func (i *Instance) claimFollower(number int) *follower {
	stream := claim.StreamName(number)
	initialize := func(_ context.Context, page provider.Page) error {
		coveredSince := time.Now()
		if len(page.Records) > 0 {
			coveredSince = page.Records[0].AppendedAt
		}
		return i.claimCommands.SetNextOffset(stream, page.Earliest, coveredSince)
	}
	nextOffset := func() uint64 { return i.claimQueries.AppliedThrough(stream) + 1 }
	apply := func(records []provider.Record) error { return i.applyClaims(stream, records) }
	return i.follower(stream, initialize, nextOffset, apply)
}

func (i *Instance) applyClaims(stream string, records []provider.Record) error {
	if len(records) == 0 {
		return nil
	}
	decoded := make([]claim.Record, len(records))
	for n, r := range records {
		if err := codec.Unmarshal(r.Data, &decoded[n]); err != nil {
			i.Logger.Write(event.LogRecordUnreadable, stream, r.Offset, err)
			decoded[n] = claim.Record{}
		}
	}
	return i.claimCommands.ApplyRecords(stream, records[0].Offset, decoded)
}

// readClaims reads and applies the records of a stream of claims up to its current
// end.
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
			return eris.Wrapf(provider.ErrUnavailable, "read %s: empty page before the end of the stream", stream)
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
func (i *Instance) claim(ctx context.Context, incoming request.Request) (pipeline.ClaimResult, error) {
	key, err := claim.ParseKey(incoming.Key)
	if err != nil {
		return pipeline.ClaimResult{}, request.Refuse(request.ReasonKeyMalformed, "the key is not a UUIDv7 in canonical form")
	}
	ticket, err := i.claimer.Claim(ctx, key, incoming.Workspace, requestDigest(incoming))
	var ran claim.AlreadyRanError
	if errors.As(err, &ran) {
		return pipeline.ClaimResult{StoredAnswer: storedAnswer(ran)}, nil
	}
	if err != nil {
		return pipeline.ClaimResult{}, err
	}
	return pipeline.ClaimResult{Finish: func(outcome request.Outcome, output []byte) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
		defer cancel()
		if err := ticket.Finish(ctx, outcome, output); err != nil {
			i.Logger.Write(event.ClaimUndecided, incoming.Key, err)
		}
	}}, nil
}

// requestDigest returns a digest of the target and the input of a request, so that a key
// can't be used for two different requests.
func requestDigest(incoming request.Request) claim.Digest {
	hash := sha256.New()
	_, _ = hash.Write([]byte(incoming.Target))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write(incoming.Input)
	return claim.Digest(hash.Sum(nil))
}

// storedAnswer returns the answer to a repeat of a request that ran. A record holds no
// output longer than claim.MaxStoredResultBytes; the answer is a failure in this case,
// so that an empty output is not mistaken for the result.
func storedAnswer(ran claim.AlreadyRanError) *request.Answer {
	answer := &request.Answer{Outcome: request.Ran, Output: ran.Result.Output}
	if len(ran.Result.Output) != ran.Result.Length {
		answer.Failure = outputNotStored()
	}
	return answer
}

func outputNotStored() request.Failure {
	return request.Refuse(request.ReasonOutputNotKept, "the request ran, but its output is not stored").WithSent(true)
}

// keyStatus returns the status of a key, and reads the claims up to the end of their
// stream if the key appears not to have run or to be running.
func (i *Instance) keyStatus(ctx context.Context, workspace, text string) caller.KeyStatus {
	key, err := claim.ParseKey(text)
	if err != nil {
		return caller.KeyStatus{Outcome: request.MayHaveRun, Failure: request.Refuse(request.ReasonKeyMalformed, "the key is not a UUIDv7 in canonical form")}
	}
	status := i.localKeyStatus(key, workspace)
	if status.Outcome != request.NotRun && !status.Running {
		return status
	}
	// Another instance may have claimed or finished the key in a record that has not
	// arrived here yet, so that the stream must be read to its end.
	err = i.readClaims(ctx, claim.StreamName(claim.StreamOf(key)))
	switch {
	case err != nil && status.Running:
		i.Logger.Write(event.ClaimsUnread, text, err)
		return status
	case err != nil:
		return caller.KeyStatus{Outcome: request.MayHaveRun, Failure: request.Refuse(request.ReasonClaimLogUnavailable, "the claims of the key could not be read from the log")}
	}
	return i.localKeyStatus(key, workspace)
}

// localKeyStatus returns the status of a key according to the records applied on this
// instance.
func (i *Instance) localKeyStatus(key claim.Key, workspace string) caller.KeyStatus {
	state, known := i.claimQueries.State(key)
	_, isActive := state.ActiveClaim()
	switch {
	case !i.claimQueries.HasAllRecords(key):
		return caller.KeyStatus{Outcome: request.MayHaveRun, Failure: request.Refuse(request.ReasonKeyOutsideWindow, "this instance has not read all claims from the time of the key")}
	case !state.BelongsTo(workspace):
		return caller.KeyStatus{Outcome: request.MayHaveRun, Failure: request.Refuse(request.ReasonKeyMismatch, "the key belongs to another workspace")}
	case !known || !isActive:
		return caller.KeyStatus{Outcome: request.NotRun}
	case state.Outcome() == request.Ran:
		stored := storedAnswer(claim.AlreadyRanError{Result: state.Result()})
		return caller.KeyStatus{Outcome: request.Ran, Output: stored.Output, Failure: stored.Failure}
	default:
		return caller.KeyStatus{Outcome: request.MayHaveRun, Running: state.Outcome() == 0}
	}
}
