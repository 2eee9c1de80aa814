package delivery

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lycheecrank.example/backend"
)

// keptConnections models servers that refuse the first send of an attempt and run each
// later one. On a kept connection to an address, the first refusal arrives once more in
// place of the answer.
type keptConnections struct {
	refusal Answer
	// refused holds the addresses that have refused the attempt.
	refused map[string]bool
	runs    int
}

func (k *keptConnections) send(_ context.Context, options ForwardOptions) (Answer, error) {
	answer := Answer{Status: 200, IsValid: true, WriteHeader: func() error { return nil }}
	switch address := options.Server.Address; {
	case !k.refused[address]:
		k.refused[address], answer = true, k.refusal
	case options.IsResend:
		k.runs++
	default:
		k.runs++
		answer = k.refusal
	}
	answer.Body = io.NopCloser(strings.NewReader(""))
	return answer, nil
}

// Guards against a late copy of the first refusal that counts as the answer to the second
// send of an attempt to an address: the client would be told that a request has not run
// which a server runs.
func TestLateRefusalAfterResend(t *testing.T) {
	full := Answer{Status: 503, IsNotRun: true, IsRefusalStatus: true, IsValid: true}
	misdirected := Answer{Status: 421, IsNotRun: true, IsMisdirected: true, IsRefusalStatus: true, IsValid: true}
	for _, row := range []struct {
		name    string
		refusal Answer
	}{{"full", full}, {"another server at the address", misdirected}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := newTestRouter()
			r.PlainServers.Sync([]backend.Spec{{Name: "s1", Pool: "registry", Address: "s1:1", LowestRank: 9, MaxInFlight: 4, ColdInFlight: 4}}, time.Now())
			servers := &keptConnections{refusal: row.refusal, refused: map[string]bool{}}
			attempt := r.attempt("/transfer/1")
			attempt.Send = servers.send
			result := r.Deliver(t.Context(), attempt)
			is.Equal(servers.runs, 1)      // the second send runs, and is the last one
			is.True(result.Failure == nil) // its client gets the answer, no refusal
		})
	}
}

// Guards against the status of a refusal that reaches the client of a request that may not
// be repeated, although the server doesn't guarantee that it has not run the request.
func TestRefusalWithoutGuarantee(t *testing.T) {
	for _, row := range []struct {
		path        string
		isForwarded bool
	}{{"/order/1", false}, {"/transfer/1", false}, {"/lookup/1", true}, {"/chat/1", false}, {"/draft/1", false}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := newTestRouter()
			refusal := scriptedAnswer{answer: Answer{Status: 503, IsRefusalStatus: true, IsValid: true}}
			r.script = []scriptedAnswer{refusal, refusal}
			result := r.Deliver(t.Context(), r.attempt(row.path))
			if row.isForwarded {
				is.True(result.Failure == nil) // the client may repeat the request
				return
			}
			is.Equal(r.headersWritten, 0)  // the status doesn't reach the client
			is.True(result.Failure != nil) // the client gets an error
			is.True(result.Failure.Sent)   // it says that the request may have run
			is.Equal(len(r.sends), 1)      // the request is sent once
		})
	}
}
