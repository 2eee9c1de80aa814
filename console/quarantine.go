package console

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"lycheecrank.example/expiry"
	"lycheecrank.example/operator"
	"lycheecrank.example/quarantine"
	"lycheecrank.example/rollout"
)

// InstanceQuarantine is what one instance has quarantined, or why that isn't known.
type InstanceQuarantine struct {
	Metrics    string              `json:"metrics"`
	Quarantine []quarantine.Status `json:"quarantine"`
	Error      string              `json:"error,omitempty"`
}

// maxMetricsBytes bounds the counters of an instance.
const maxMetricsBytes = 16 << 20

// Quarantines reads the counters of entry instances at the given URLs, and returns what
// each of them has quarantined, in order. It returns operator.ErrUnavailable, together with the
// answers that there are, if an instance didn't answer.
func Quarantines(ctx context.Context, client *http.Client, timeout time.Duration, urls []string) ([]InstanceQuarantine, error) {
	var all []InstanceQuarantine
	var failed []string
	for _, url := range urls {
		found, err := readBeliefs(ctx, client, timeout, url)
		status := InstanceQuarantine{Metrics: url, Quarantine: found.Quarantine}
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

// beliefs is the part of the state of an instance that is shown.
type beliefs struct {
	Quarantine []quarantine.Status `json:"quarantine"`
	Rollouts   []rollout.Status    `json:"rollouts"`
}

func readBeliefs(ctx context.Context, client *http.Client, timeout time.Duration, url string) (beliefs, error) {
	ctx, cancel := expiry.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return beliefs{}, eris.Wrap(err, "create request")
	}
	res, err := client.Do(req)
	if err != nil {
		return beliefs{}, eris.Wrap(err, "read counters")
	}
	defer func() { _ = res.Body.Close() }()
	var counters struct {
		Beliefs beliefs `json:"beliefs"`
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxMetricsBytes)).Decode(&counters); err != nil {
		return beliefs{}, eris.Wrap(err, "decode counters")
	}
	return counters.Beliefs, nil
}

// QuarantineTable returns what instances have quarantined as a text.
func QuarantineTable(all []InstanceQuarantine) string {
	table := newTable("instance", "parts", "level", "since", "next probe", "crashes")
	for _, i := range all {
		if i.Error != "" {
			table.add(i.Metrics, "unknown: "+i.Error, "", "", "", "")
			continue
		}
		if len(i.Quarantine) == 0 {
			table.add(i.Metrics, "none", "", "", "", "")
		}
		for _, q := range i.Quarantine {
			var crashes []string
			for _, c := range q.Evidence {
				crashes = append(crashes, fmt.Sprintf("%s at %s by %s", c.BackendServer, c.At.Format(time.TimeOnly), c.Request))
			}
			nextProbe := time.Duration(q.NextProbeMs) * time.Millisecond
			table.add(i.Metrics, strings.Join(q.Parts, ","), q.Level, q.Since.Format(time.RFC3339), nextProbe, strings.Join(crashes, "; "))
		}
	}
	return table.String()
}
