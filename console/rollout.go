package console

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"lycheecrank.example/operator"
	"lycheecrank.example/rollout"
)

// InstanceRollouts is what one instance knows of rollouts, or why that isn't known.
type InstanceRollouts struct {
	Metrics  string           `json:"metrics"`
	Rollouts []rollout.Status `json:"rollouts"`
	Error    string           `json:"error,omitempty"`
}

// Rollouts reads the counters of entry instances at the given URLs, and returns what each
// of them knows of rollouts, in order. It returns operator.ErrUnavailable, together with the
// answers that there are, if an instance didn't answer.
func Rollouts(ctx context.Context, client *http.Client, timeout time.Duration, urls []string) ([]InstanceRollouts, error) {
	var all []InstanceRollouts
	var failed []string
	for _, url := range urls {
		found, err := readBeliefs(ctx, client, timeout, url)
		status := InstanceRollouts{Metrics: url, Rollouts: found.Rollouts}
		if err != nil {
			status.Error = err.Error()
			failed = append(failed, url)
		}
		all = append(all, status)
	}
	if len(failed) > 0 {
		return all, eris.Wrapf(operator.ErrUnavailable, "no counters from %s", strings.Join(failed, ", "))
	}
	return all, nil
}

// RolloutTable returns what instances know of rollouts as a text.
func RolloutTable(all []InstanceRollouts) string {
	table := newTable("instance", "pool", "to", "phase", "share", "elapsed", "servers", "new bad", "old bad", "reason")
	for _, i := range all {
		if i.Error != "" {
			table.add(i.Metrics, "unknown: "+i.Error, "", "", "", "", "", "", "", "")
			continue
		}
		if len(i.Rollouts) == 0 {
			table.add(i.Metrics, "none", "", "", "", "", "", "", "", "")
		}
		for _, r := range i.Rollouts {
			elapsed := time.Duration(r.ElapsedMs) * time.Millisecond
			table.add(i.Metrics, r.Pool, r.To, r.Phase, r.Share, elapsed, fmt.Sprintf("%d of %d", r.Trial, r.Listed),
				fmt.Sprintf("%d of %d", r.Bad, r.Responses), fmt.Sprintf("%d of %d", r.OldBad, r.OldResponses), r.Reason)
		}
	}
	return table.String()
}
