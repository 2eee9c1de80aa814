package instance

import (
	"context"
	"hash/fnv"
	"slices"
	"time"

	"lycheecrank.example/catalogue"
	"lycheecrank.example/member"
	"lycheecrank.example/request"
)

// maxHops bounds how often a step is forwarded: to the owner of its pool, and once
// more if the ownership has changed.
const maxHops = 2

// destination is the instance that a step is routed to, and its data centre.
type destination struct {
	instance   member.Instance
	dataCentre string
}

// execute runs a step on this instance or forwards it to the instance that
// dispatches for its pool.
func (i *Instance) execute(ctx context.Context, step request.Step, sink request.Sink) (request.Result, error) {
	destination, err := i.route(step, time.Now())
	if err != nil {
		return request.Result{}, err
	}
	if destination.instance.Name == i.self.Instance {
		return i.executeLocally(ctx, step, sink)
	}
	if step.Hops >= maxHops {
		return request.Result{}, request.Refuse(request.ReasonPermissionExpired, "forwarding limit reached, and this instance does not dispatch for pool "+step.Pool).WithDataCentre(destination.dataCentre)
	}
	result, err := i.peerClient.Execute(ctx, destination.instance.PeerAddress, step.WithHop(), sink)
	if err != nil {
		failure := request.AsFailure(err)
		if failure.Reason == request.ReasonPeerUnreachable {
			i.memberCommands.MarkUnreachable(destination.instance.Name)
		}
		return request.Result{}, failure.WithDataCentre(destination.dataCentre)
	}
	return result, nil
}

func (i *Instance) executeLocally(ctx context.Context, step request.Step, sink request.Sink) (request.Result, error) {
	result, err := i.dispatchCommands.Do(ctx, step, sink)
	if err != nil {
		return request.Result{}, request.AsFailure(err).WithDataCentre(i.self.DataCentre)
	}
	return result.WithDispatcher(i.self.Instance, i.self.DataCentre), nil
}

// route chooses the data centre and the instance for a step. A step forwarded by a
// peer stays in this data centre.
func (i *Instance) route(step request.Step, now time.Time) (destination, error) {
	current := i.catalogueQueries.Current()
	for _, dc := range i.dataCentres(current, step) {
		if !i.catalogueQueries.IsOpen(dc, now) || !hasServer(current, dc, step) {
			continue
		}
		members := i.memberQueries.InDataCentre(dc)
		name, _ := i.ownershipQueries.Route(step.Pool, dc, members, i.isUnreachable)
		if member, ok := i.memberQueries.ByName(name); ok {
			return destination{instance: member, dataCentre: dc}, nil
		}
	}
	return destination{}, request.Refuse(request.ReasonNoServer, "no data centre can serve pool "+step.Pool+" at present")
}

// dataCentres returns the data centres for a step in the order of preference: the
// local one, those of the same region, and the others. Data centres that the step
// should avoid, because they could not serve an earlier attempt, have the lowest
// preference.
func (i *Instance) dataCentres(current catalogue.Catalogue, step request.Step) []string {
	localName := i.self.DataCentre
	if step.Hops > 0 {
		return []string{localName}
	}
	localEntry, _ := current.Entry(catalogue.DataCentreKind, localName)
	entries := current.EntriesOfKind(catalogue.DataCentreKind)
	names := make([]string, 0, len(entries))
	regions := map[string]string{}
	for _, e := range entries {
		names = append(names, e.Name)
		regions[e.Name] = e.Region
	}
	rotate(names, step.RequestID)
	distance := func(dc string) int {
		switch {
		case slices.Contains(step.AvoidDataCentres, dc):
			return 3
		case dc == localName:
			return 0
		case regions[dc] == localEntry.Region:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(names, func(a, b string) int { return distance(a) - distance(b) })
	return names
}

// rotate rotates the names by a hash of the request ID, so that requests are spread
// over data centres of equal preference.
func rotate(names []string, requestID string) {
	if len(names) == 0 {
		return
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(requestID))
	shift := int(hash.Sum32() % uint32(len(names)))
	copy(names, append(slices.Clone(names[shift:]), names[:shift]...))
}

// hasServer reports whether a data centre has a server in service that may run a
// step of its rank.
func hasServer(current catalogue.Catalogue, dataCentre string, step request.Step) bool {
	return slices.ContainsFunc(current.Servers(step.Pool), func(server catalogue.Entry) bool {
		return server.DataCentre == dataCentre && server.State != catalogue.TakenOut && step.Rank <= lowestRank(current, server)
	})
}

func (i *Instance) isUnreachable(name string) bool {
	if name == i.self.Instance {
		return false
	}
	member, ok := i.memberQueries.ByName(name)
	return !ok || !member.IsReachable
}
