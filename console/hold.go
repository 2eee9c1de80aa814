package console

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/catalogue"
	"lycheecrank.example/expiry"
	"lycheecrank.example/operator"
)

// HeldInstance is an instance that was told of a hold.
type HeldInstance struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	Address    string `json:"address"`
	// Taken tells that the instance confirmed it.
	Taken bool `json:"taken"`
	// Ends is when the hold ends on the instance.
	Ends    time.Time `json:"ends,omitzero"`
	Failure string    `json:"failure,omitempty"`

	refused bool
}

// Held is the result of a hold or of its release.
type Held struct {
	DataCentre string         `json:"dataCentre"`
	Released   bool           `json:"released"`
	Instances  []HeldInstance `json:"instances"`
	Warnings   []string       `json:"warnings"`
}

// taken returns the number of instances that confirmed.
func (h Held) taken() int {
	n := 0
	for _, i := range h.Instances {
		if i.Taken {
			n++
		}
	}
	return n
}

// Text returns the result for people.
func (h Held) Text() string {
	var b strings.Builder
	verb := "hold on"
	if h.Released {
		verb = "release of the hold on"
	}
	fmt.Fprintf(&b, "%s %s: confirmed by %d of %d instances\n", verb, h.DataCentre, h.taken(), len(h.Instances))
	for _, w := range h.Warnings {
		fmt.Fprintf(&b, "warning: %s\n", w)
	}
	t := newTable("INSTANCE", "DATA CENTRE", "CONFIRMED", "ENDS", "FAILURE")
	for _, i := range h.Instances {
		ends := ""
		if i.Taken && !h.Released {
			ends = i.Ends.Format(time.RFC3339)
		}
		t.add(i.Name, i.DataCentre, yesNo(i.Taken), ends, i.Failure)
	}
	b.WriteString(t.String())
	return b.String()
}

// Hold places a hold on a data centre through all instances that answer; the
// duration 0 ends it. It needs no log. Instances that don't answer learn of it
// from the others if they reach them. It returns ErrUsage for a duration that is
// negative or above catalogue.MaxHoldDuration, ErrNoInstance if none confirms, and
// ErrNotInForce with the result if only some do.
func (c Commands) Hold(ctx context.Context, dataCentre string, d time.Duration) (Held, error) {
	switch {
	case d < 0 || d > catalogue.MaxHoldDuration:
		return Held{}, eris.Wrapf(ErrUsage, "a hold lasts at most %s", catalogue.MaxHoldDuration)
	case c.console.Author == "":
		return Held{}, eris.Wrap(ErrUsage, "a hold needs an author")
	}
	instances, warnings, err := c.queries.askAll(ctx)
	if err != nil {
		return Held{}, eris.Wrap(ErrNoInstance, firstLine(err)+"; name instances with --instance")
	}
	held := Held{DataCentre: dataCentre, Released: d == 0, Warnings: warnings, Instances: make([]HeldInstance, len(instances))}
	var group errgroup.Group
	group.SetLimit(askedAtOnce)
	for n, i := range instances {
		group.Go(func() error {
			held.Instances[n] = c.holdOne(ctx, i, dataCentre, d)
			return nil
		})
	}
	_ = group.Wait()
	return held, held.failure()
}

func (c Commands) holdOne(ctx context.Context, i InstanceStatus, dataCentre string, d time.Duration) HeldInstance {
	held := HeldInstance{Name: i.label(), DataCentre: i.DataCentre, Address: i.Address}
	ctx, cancel := expiry.WithTimeout(ctx, c.console.Timeout)
	defer cancel()
	ends, err := c.console.Operator(i.Address).Hold(ctx, dataCentre, c.console.Author, d)
	if err != nil {
		held.Failure, held.refused = firstLine(err), errors.Is(err, operator.ErrRefused)
		return held
	}
	held.Taken, held.Ends = true, ends
	return held
}

func (h Held) failure() error {
	taken := h.taken()
	switch {
	case taken > 0 && taken == len(h.Instances):
		return nil
	case taken > 0:
		return eris.Wrapf(ErrNotInForce, "%d of %d instances did not confirm", len(h.Instances)-taken, len(h.Instances))
	}
	if n := slices.IndexFunc(h.Instances, func(i HeldInstance) bool { return i.refused }); n >= 0 {
		return eris.Wrap(ErrInvalid, h.Instances[n].Failure)
	}
	return eris.Wrapf(ErrNoInstance, "data centre %s", h.DataCentre)
}
