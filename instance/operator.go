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

// cancelRequest cancels a request on this instance, or on all others if it is not
// known here, and reports whether it was found.
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

// status returns the status of this instance for operators.
func (i *Instance) status(context.Context) operator.Status {
	status := operator.Status{
		Instance: i.self.Instance, Incarnation: i.self.Incarnation, DataCentre: i.self.DataCentre,
		CatalogueRevision: i.catalogueQueries.Current().Revision, CatalogueOffset: i.catalogueQueries.Current().Offset,
		Leaving: i.isLeaving.Load(), LogContactAge: i.logContact.age(),
		Members: i.memberQueries.All(), Queues: i.dispatchQueries.Depths(),
	}
	now := time.Now()
	for _, h := range i.catalogueQueries.Holds().All() {
		if h.IsActive(now) {
			status.Holds = append(status.Holds, h)
		}
	}
	for _, b := range i.backendQueries.All() {
		permission := i.permission(b.Pool, now)
		if permission == (backend.Permission{}) {
			continue
		}
		status.Servers = append(status.Servers, operator.Server{Server: b, Limit: b.Limit(permission)})
	}
	for _, t := range i.ownershipQueries.State().Terms() {
		if t.IsOwnedBy(i.self.Instance, i.self.Incarnation) {
			status.Ownerships = append(status.Ownerships, operator.Ownership{
				Pool: t.Key.Pool, DataCentre: t.Key.DataCentre, Term: t.ID,
				LeaseValid: i.ownershipQueries.Permission(t.Key.Pool, now).Cold,
			})
		}
	}
	return status
}

// ErrInvalidHold is returned for a hold that can't be placed.
var ErrInvalidHold = errors.New("invalid hold")

// hold places a hold on a data centre, or ends it if the duration is 0. Gossip passes
// the change on to the other instances.
func (i *Instance) hold(_ context.Context, dataCentre, operatorName string, duration time.Duration) (time.Time, error) {
	current := i.catalogueQueries.Current()
	switch _, known := current.Entry(catalogue.DataCentreKind, dataCentre); {
	case dataCentre == "" || (!known && i.catalogueQueries.IsLoaded()):
		return time.Time{}, eris.Wrapf(ErrInvalidHold, "data centre %q is not in the catalogue", dataCentre)
	case operatorName == "":
		return time.Time{}, eris.Wrap(ErrInvalidHold, "the name of the operator is empty")
	case duration < 0 || duration > catalogue.MaxHoldDuration:
		return time.Time{}, eris.Wrapf(ErrInvalidHold, "duration %s is not between 0 and %s", duration, catalogue.MaxHoldDuration)
	}
	now := time.Now()
	requested := catalogue.Hold{DataCentre: dataCentre, Operator: operatorName, EndsAt: now.Add(duration), Sequence: uint64(now.UnixMicro())}
	if duration == 0 {
		// The release is kept until every copy of the active hold on other instances has
		// expired. Otherwise such a copy would replace it.
		requested.EndsAt = now.Add(catalogue.MaxHoldDuration)
		i.catalogueCommands.PlaceHold(requested.WithReleased())
		i.applyDataCentreState()
		return now, nil
	}
	placed := i.catalogueCommands.PlaceHold(requested)
	i.applyDataCentreState()
	return placed.EndsAt, nil
}
