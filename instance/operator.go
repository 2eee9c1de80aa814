package instance

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/backend"
	"lycheecrank.example/catalogue"
	"lycheecrank.example/operator"
)

// cancelRequest ends a request on this instance or on the one that has it.
func (i *Instance) cancelRequest(ctx context.Context, workspace, requestID string) bool {
	if i.requestCommands.Cancel(workspace, requestID) {
		return true
	}
	var group errgroup.Group
	found := make(chan bool, len(i.memberQueries.All()))
	for _, m := range i.memberQueries.All() {
		if m.Name == i.self.Instance {
			continue
		}
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, i.Settings.Timeouts.Platform)
			defer cancel()
			ok, err := i.peerClient.CancelRequest(ctx, m.PeerAddress, workspace, requestID)
			found <- err == nil && ok
			return nil
		})
	}
	_ = group.Wait()
	close(found)
	for ok := range found {
		if ok {
			return true
		}
	}
	return false
}

// status returns the state of this instance for operators.
func (i *Instance) status(context.Context) operator.Status {
	s := operator.Status{
		Instance: i.self.Instance, Incarnation: i.self.Incarnation, DataCentre: i.self.DataCentre,
		CatalogueRevision: i.catalogueQueries.Current().Revision, CatalogueOffset: i.catalogueQueries.Current().Offset,
		Leaving: i.leaving.Load(), LogContactAge: i.contact.age(),
		Members: i.memberQueries.All(), Queues: i.dispatchQueries.Depths(),
	}
	now := time.Now()
	for _, h := range i.catalogueQueries.Holds().All() {
		if h.IsActive(now) {
			s.Holds = append(s.Holds, h)
		}
	}
	for _, b := range i.backendQueries.All() {
		rights := i.rights(b.Pool, now)
		if rights == (backend.Permission{}) {
			continue
		}
		s.Servers = append(s.Servers, operator.Server{Server: b, Limit: b.Limit(rights)})
	}
	for _, t := range i.ownershipQueries.State().Terms() {
		if t.IsOwnedBy(i.self.Instance, i.self.Incarnation) {
			s.Ownerships = append(s.Ownerships, operator.Ownership{
				Pool: t.Key.Pool, DataCentre: t.Key.DataCentre, Term: t.ID,
				LeaseValid: i.ownershipQueries.Permission(t.Key.Pool, now).Cold,
			})
		}
	}
	return s
}

// ErrHoldInvalid is returned for a hold that can't be placed.
var ErrHoldInvalid = errors.New("invalid hold")

// hold places a hold on a data centre, or ends it if the duration is 0. The
// other instances learn of it through gossip.
func (i *Instance) hold(_ context.Context, dataCentre, by string, d time.Duration) (time.Time, error) {
	current := i.catalogueQueries.Current()
	switch _, known := current.Entry(catalogue.DataCentreKind, dataCentre); {
	case dataCentre == "" || (!known && i.catalogueQueries.IsLoaded()):
		return time.Time{}, eris.Wrapf(ErrHoldInvalid, "data centre %q is not in the catalogue", dataCentre)
	case by == "":
		return time.Time{}, eris.Wrap(ErrHoldInvalid, "it must name the operator")
	case d < 0 || d > catalogue.MaxHoldDuration:
		return time.Time{}, eris.Wrapf(ErrHoldInvalid, "duration %s is not within 0 and %s", d, catalogue.MaxHoldDuration)
	}
	now := time.Now()
	h := catalogue.Hold{DataCentre: dataCentre, Operator: by, EndsAt: now.Add(d), Sequence: uint64(now.UnixMicro())}
	if d == 0 {
		// It must outlive the copies of the hold on other instances.
		h.EndsAt = now.Add(catalogue.MaxHoldDuration)
		i.catalogueCommands.PlaceHold(h.WithReleased())
		i.followOpen()
		return now, nil
	}
	placed := i.catalogueCommands.PlaceHold(h)
	i.followOpen()
	return placed.EndsAt, nil
}
