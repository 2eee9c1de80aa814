package console

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"lycheecrank.example/catalogue"
	"lycheecrank.example/expiry"
)

// DefaultWait is how long an accepted configuration may take until it is in
// force everywhere, by promise.
const DefaultWait = 9 * time.Second

// waitPause is the wait between two rounds of questions about a revision. Each
// round asks all instances once.
const waitPause = 250 * time.Millisecond

// StateChange is the result of a change of an entry's state.
type StateChange struct {
	Entry string          `json:"entry"`
	State catalogue.State `json:"state"`
	// Changed is false if the entry had the state already.
	Changed  bool   `json:"changed"`
	Revision uint64 `json:"revision"`
	EditID   string `json:"edit,omitempty"`
	// InForce are the instances that have adopted the revision.
	InForce []string `json:"inForce"`
	// Behind answer with an older revision; Silent don't answer, so that it is
	// unknown what they do.
	Behind []string `json:"behind"`
	Silent []string `json:"silent"`
	// Holds are the holds in force on the data centre.
	Holds    []HoldStatus `json:"holds"`
	Warnings []string     `json:"warnings"`
}

// Text returns the result for people.
func (s StateChange) Text() string {
	var b strings.Builder
	if s.Changed {
		fmt.Fprintf(&b, "%s: %s since revision %d, edit %s\n", s.Entry, s.State, s.Revision, s.EditID)
	} else {
		fmt.Fprintf(&b, "%s: %s already, revision %d\n", s.Entry, s.State, s.Revision)
	}
	for _, w := range s.Warnings {
		fmt.Fprintf(&b, "warning: %s\n", w)
	}
	fmt.Fprintf(&b, "in force on %d of %d instances\n", len(s.InForce), len(s.InForce)+len(s.Behind)+len(s.Silent))
	writeNames(&b, "not yet in force on", s.Behind)
	writeNames(&b, "unknown, no answer from", s.Silent)
	for _, h := range s.Holds {
		fmt.Fprintf(&b, "a hold of %s keeps new work away until %s on: %s\n", h.Operator, h.Ends.Format(time.RFC3339), strings.Join(h.Instances, " "))
	}
	return b.String()
}

func writeNames(b *strings.Builder, title string, names []string) {
	if len(names) > 0 {
		fmt.Fprintf(b, "%s: %s\n", title, strings.Join(names, " "))
	}
}

// SetState submits the state of a data centre or server, then waits until every
// instance has adopted the revision. It returns ErrNotFound for an unknown
// entry, the errors of Apply, and ErrNotInForce with the result if an instance
// is behind or silent at the end of the wait. A wait of 0 means DefaultWait.
func (c Commands) SetState(ctx context.Context, id catalogue.ID, state catalogue.State, wait time.Duration) (StateChange, error) {
	h, err := c.console.Load(ctx)
	if err != nil {
		return StateChange{}, err
	}
	current, ok := h.Catalogue.Entry(id.Kind, id.Name)
	if !ok {
		return StateChange{}, eris.Wrap(ErrNotFound, id.String())
	}
	s := StateChange{Entry: id.String(), State: state, Revision: current.Revision}
	if next := current.WithState(state); !current.SameContent(next) {
		next = next.WithRevision(0)
		changes := []catalogue.Change{{ID: id, BaseRevision: current.Revision, Entry: &next}}
		applied, err := c.submit(ctx, differences(h.Catalogue, changes), changes)
		if err != nil {
			return StateChange{}, err
		}
		s.Changed, s.Revision, s.EditID = true, applied.Revision, applied.EditID
	}
	if wait == 0 {
		wait = DefaultWait
	}
	ctx, cancel := expiry.WithTimeout(ctx, wait)
	defer cancel()
	return c.awaitAdoption(ctx, s, id)
}

// awaitAdoption asks the instances until all have adopted the revision or the
// context ends. The last full round counts; one that the context has cut short
// says nothing about the instances.
func (c Commands) awaitAdoption(ctx context.Context, s StateChange, id catalogue.ID) (StateChange, error) {
	asked := false
	for {
		next, err := c.adoption(ctx, s, id)
		if ctx.Err() == nil || !asked {
			s, asked = next, true
		}
		if err == nil && len(s.InForce) > 0 && len(s.Behind)+len(s.Silent) == 0 {
			return s, nil
		}
		timer := time.NewTimer(waitPause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return s, notInForce(s, err)
		}
	}
}

func notInForce(s StateChange, err error) error {
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return eris.Wrapf(ErrNotInForce, "revision %d: no instance could be asked: %s", s.Revision, firstLine(err))
	}
	return eris.Wrapf(ErrNotInForce, "revision %d: %d instances behind, %d without answer", s.Revision, len(s.Behind), len(s.Silent))
}

// adoption asks all instances once.
func (c Commands) adoption(ctx context.Context, s StateChange, id catalogue.ID) (StateChange, error) {
	s.InForce, s.Behind, s.Silent = []string{}, []string{}, []string{}
	s.Holds, s.Warnings = []HoldStatus{}, []string{}
	instances, warnings, err := c.queries.askAll(ctx)
	if err != nil {
		return s, err
	}
	s.Warnings = warnings
	var all Status
	for _, i := range instances {
		switch {
		case !i.Answers:
			s.Silent = append(s.Silent, i.label())
		case i.Revision < s.Revision:
			s.Behind = append(s.Behind, i.Name)
		default:
			s.InForce = append(s.InForce, i.Name)
		}
		all.add(i)
	}
	if id.Kind == catalogue.DataCentreKind {
		s.Holds = slices.DeleteFunc(append(s.Holds, all.Holds...), func(h HoldStatus) bool { return h.DataCentre != id.Name })
	}
	return s, nil
}

// label names an instance that may be known only by its address.
func (i InstanceStatus) label() string {
	if i.Name == "" {
		return i.Address
	}
	return i.Name
}
