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
		Holds: i.catalogueQueries.Holds().All(), Members: i.memberQueries.All(), Queues: i.dispatchQueries.Depths(),
	}
	now := time.Now()
	for _, b := range i.backendQueries.All() {
		rights := i.rights(b.Pool, now)
		if rights == (backend.Rights{}) {
			continue
		}
		s.Servers = append(s.Servers, operator.Server{Server: b, Limit: b.Limit(rights)})
	}
	for _, t := range i.ownershipQueries.State().Terms() {
		if t.IsOwnedBy(i.self.Instance, i.self.Incarnation) {
			s.Ownerships = append(s.Ownerships, operator.Ownership{
				Pool: t.Key.Pool, DataCentre: t.Key.DataCentre, Term: t.ID,
				LeaseValid: i.ownershipQueries.Rights(t.Key.Pool, now).Cold,
			})
		}
	}
	return s
}

// errUnknownDataCentre is returned for a hold on a data centre that is not in
// the catalogue.
var errUnknownDataCentre = errors.New("data centre is not in the catalogue")

// hold places a hold on a data centre; the duration 0 ends the hold.
func (i *Instance) hold(_ context.Context, dataCentre, by string, d time.Duration) (time.Time, error) {
	c := i.catalogueQueries.Current()
	if _, known := c.Entry(catalogue.DataCentreKind, dataCentre); !known && i.catalogueQueries.Known() {
		return time.Time{}, eris.Wrap(errUnknownDataCentre, dataCentre)
	}
	now := time.Now()
	h := catalogue.Hold{
		DataCentre: dataCentre, Operator: by,
		Ends: now.Add(min(max(d, 0), catalogue.MaxHold)), Sequence: i.nextHold(dataCentre, now),
	}
	i.catalogueCommands.Hold(h)
	i.followOpen()
	return h.Ends, nil
}

// nextHold returns the sequence number of a new hold. It is above that of the
// known one, which an instance whose clock is ahead may have placed.
func (i *Instance) nextHold(dataCentre string, now time.Time) uint64 {
	next := uint64(now.UnixMicro())
	for _, h := range i.catalogueQueries.Holds().All() {
		if h.DataCentre == dataCentre {
			next = max(next, h.Sequence+1)
		}
	}
	return next
}
