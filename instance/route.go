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

// maxHops is the largest number of times that a step is passed on: to the owner
// of its pool, and once more if the ownership has changed meanwhile.
const maxHops = 2

// target is where a step goes.
type target struct {
	instance   member.Instance
	dataCentre string
}

// execute runs a step on this instance or passes it on to the instance that
// dispatches for its pool.
func (i *Instance) execute(ctx context.Context, step request.Step, sink request.Sink) (request.Result, error) {
	t, err := i.route(step, time.Now())
	if err != nil {
		return request.Result{}, err
	}
	if t.instance.Name == i.self.Instance {
		return i.executeHere(ctx, step, sink)
	}
	if step.Hops >= maxHops {
		return request.Result{}, request.Refuse(request.ReasonPermissionExpired, "another instance dispatches for pool "+step.Pool).WithDataCentre(t.dataCentre)
	}
	result, err := i.peerClient.Execute(ctx, t.instance.PeerAddress, step.WithHop(), sink)
	if err != nil {
		f := request.AsFailure(err)
		if f.Reason == request.ReasonPeerUnreachable {
			i.memberCommands.MarkUnreachable(t.instance.Name)
		}
		return request.Result{}, f.WithDataCentre(t.dataCentre)
	}
	return result, nil
}

func (i *Instance) executeHere(ctx context.Context, step request.Step, sink request.Sink) (request.Result, error) {
	result, err := i.dispatchCommands.Do(ctx, step, sink)
	if err != nil {
		return request.Result{}, request.AsFailure(err).WithDataCentre(i.self.DataCentre)
	}
	return result.WithDispatcher(i.self.Instance, i.self.DataCentre), nil
}

// route chooses the data centre and the instance for a step. A step that a peer
// passed on stays in this data centre.
func (i *Instance) route(step request.Step, now time.Time) (target, error) {
	c := i.catalogueQueries.Current()
	for _, dc := range i.dataCentres(c, step) {
		if !i.catalogueQueries.IsOpen(dc, now) || !hasServer(c, dc, step) {
			continue
		}
		members := i.memberQueries.InDataCentre(dc)
		name, _ := i.ownershipQueries.Route(step.Pool, dc, members, i.isUnreachable)
		if m, ok := i.memberQueries.ByName(name); ok {
			return target{instance: m, dataCentre: dc}, nil
		}
	}
	return target{}, request.Refuse(request.ReasonNoServer, "no data centre can serve pool "+step.Pool+" now")
}

// dataCentres returns the data centres for a step in the order of preference:
// the own one, then those of the same region, then the others. Those that could
// not serve an earlier attempt come last.
func (i *Instance) dataCentres(c catalogue.Catalogue, step request.Step) []string {
	own := i.self.DataCentre
	if step.Hops > 0 {
		return []string{own}
	}
	home, _ := c.Entry(catalogue.DataCentreKind, own)
	entries := c.EntriesOfKind(catalogue.DataCentreKind)
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
		case dc == own:
			return 0
		case regions[dc] == home.Region:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(names, func(a, b string) int { return distance(a) - distance(b) })
	return names
}

// rotate spreads the requests over the other data centres by their identifier.
func rotate(names []string, id string) {
	if len(names) == 0 {
		return
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	n := int(h.Sum32() % uint32(len(names)))
	copy(names, append(slices.Clone(names[n:]), names[:n]...))
}

// hasServer reports whether a data centre has a server that may serve a step.
func hasServer(c catalogue.Catalogue, dataCentre string, step request.Step) bool {
	return slices.ContainsFunc(c.Servers(step.Pool), func(e catalogue.Entry) bool {
		return e.DataCentre == dataCentre && e.State != catalogue.TakenOut && step.Rank <= lowestRank(c, e)
	})
}

func (i *Instance) isUnreachable(name string) bool {
	if name == i.self.Instance {
		return false
	}
	m, ok := i.memberQueries.ByName(name)
	return !ok || !m.Reachable
}
