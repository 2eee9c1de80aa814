package delivery

import (
	"context"
	"errors"
	"sync"

	"lycheecrank.example/route"
)

// sendFunc sends an attempt to a server (see Attempt.Send).
type sendFunc func(ctx context.Context, options ForwardOptions) (Answer, error)

// markResends returns a function that calls send and sets IsResend for each address that
// has received the attempt before. On a kept connection, a late copy of the first answer
// could arrive, which names the same attempt. The address counts, not the server: after a
// 421, another server may be listed at the address. Two sends of an attempt may overlap if
// they go to different addresses.
func markResends(send sendFunc) sendFunc {
	var mu sync.Mutex
	addresses := map[string]bool{}
	return func(ctx context.Context, options ForwardOptions) (Answer, error) {
		mu.Lock()
		options.IsResend = addresses[options.Server.Address]
		mu.Unlock()
		answer, err := send(ctx, options)
		if !errors.Is(err, ErrNotReached) {
			mu.Lock()
			addresses[options.Server.Address] = true
			mu.Unlock()
		}
		return answer, err
	}
}

// hidesRefusal reports whether an answer must not be forwarded because its status would
// guarantee to the client that the request has not run, which the server doesn't
// guarantee. The client of an idempotent request may repeat it anyway.
func (v routedAttempt) hidesRefusal(answer Answer) bool {
	return answer.IsRefusalStatus && !answer.IsNotRun && v.route.Kind != route.Idempotent
}
