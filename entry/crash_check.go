package entry

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheecrank.example/engine"
	"lycheecrank.example/fleet"
	"lycheecrank.example/platform"
	"lycheecrank.example/quarantine"
)

const (
	// crashCheckDelay is how long broken answers are collected for one check. All answers of
	// an engine that crashes break at once, shortly before or after its port is closed.
	crashCheckDelay = 30 * time.Millisecond
	// crashCheckTimeout bounds a check.
	crashCheckTimeout = 300 * time.Millisecond
	// maxCrashChecks bounds the broken answers that wait for a check.
	maxCrashChecks = 256
)

// crashChecks finds out whether engines have crashed that broke off answers: a broken
// connection alone may be due to the network.
type crashChecks struct {
	// HasEnded reports whether no process listens at an address.
	HasEnded func(ctx context.Context, address string) bool
	// Record records what crashed engines were working on.
	Record func(crashes []quarantine.Crash)

	queue chan brokenAnswer
}

// brokenAnswer is an answer that broke off while its prompt may have crashed the engine.
type brokenAnswer struct {
	server fleet.Server
	crash  quarantine.Crash
}

func newCrashChecks(record func(crashes []quarantine.Crash)) *crashChecks {
	return &crashChecks{HasEnded: platform.HasEnded, Record: record, queue: make(chan brokenAnswer, maxCrashChecks)}
}

// add queues a broken answer for a check. Answers beyond the bound are left out.
func (c *crashChecks) add(server fleet.Server, id string, prompt engine.Prompt) {
	select {
	case c.queue <- brokenAnswer{server, newCrash(server, id, prompt, time.Now())}:
	default:
	}
}

// run checks the engines of the queued answers.
func (c *crashChecks) run(ctx context.Context) error {
	for {
		select {
		case first := <-c.queue:
			pause(ctx, crashCheckDelay)
			c.check(ctx, append(c.takeQueued(), first))
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *crashChecks) takeQueued() []brokenAnswer {
	var answers []brokenAnswer
	for {
		select {
		case a := <-c.queue:
			answers = append(answers, a)
		default:
			return answers
		}
	}
}

// check records the answers of the engines that have ended.
func (c *crashChecks) check(ctx context.Context, answers []brokenAnswer) {
	byProcess := map[fleet.Process][]quarantine.Crash{}
	for _, a := range answers {
		byProcess[a.server.Process()] = append(byProcess[a.server.Process()], a.crash)
	}
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	var group errgroup.Group
	for process, crashes := range byProcess {
		group.Go(func() error {
			if c.HasEnded(ctx, process.Address) {
				c.Record(crashes)
			}
			return nil
		})
	}
	_ = group.Wait()
}
