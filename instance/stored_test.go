package instance

import (
	"testing"

	"github.com/matryer/is"

	"lycheecrank.example/claim"
	"lycheecrank.example/request"
)

// Guards against a repeat of a request whose output is not stored that is answered
// with an empty output and no failure.
func TestAnswerWhoseOutputIsNotStored(t *testing.T) {
	is := is.New(t)
	small := storedAnswer(claim.AlreadyRanError{Result: claim.NewResult([]byte("filed"))})
	is.Equal(string(small.Output), "filed")
	is.Equal(small.Failure, request.Failure{})

	large := claim.NewResult(make([]byte, claim.MaxStoredResultBytes+1))
	is.Equal(storedAnswer(claim.AlreadyRanError{Result: large}).Failure.Reason, request.ReasonOutputNotKept)

	empty := storedAnswer(claim.AlreadyRanError{Result: claim.NewResult(nil)})
	is.Equal(empty.Failure, request.Failure{})
}
