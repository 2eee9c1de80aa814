package console

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheecrank.example/expiry"
	"lycheecrank.example/operator"
	"lycheecrank.example/provider"
)

// askedAtOnce bounds how many instances are asked at the same time.
const askedAtOnce = 64

// InstanceStatus is an instance and what it says of itself.
type InstanceStatus struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	Address    string `json:"address"`
	// Answers tells that the instance answered; the fields below are empty if
	// not.
	Answers         bool   `json:"answers"`
	Failure         string `json:"failure,omitempty"`
	Revision        uint64 `json:"revision"`
	LogContactAgeMs int64  `json:"logContactAgeMs"`
	Leaving         bool   `json:"leaving"`

	status operator.Status
}

// ServerStatus is a backend server as the instance that dispatches to it sees
// it.
type ServerStatus struct {
	Name       string `json:"name"`
	Pool       string `json:"pool"`
	DataCentre string `json:"dataCentre"`
	Warmth     string `json:"warmth"`
	InFlight   int    `json:"inFlight"`
	Limit      int    `json:"limit"`
	Leaving    bool   `json:"leaving"`
	Instance   string `json:"instance"`
}

// QueueStatus is the number of waiting steps of a class in a pool.
type QueueStatus struct {
	DataCentre string `json:"dataCentre"`
	Pool       string `json:"pool"`
	Class      string `json:"class"`
	Waiting    int    `json:"waiting"`
	Instance   string `json:"instance"`
}

// OwnerStatus is the instance that dispatches for a pool in a data centre.
type OwnerStatus struct {
	Pool       string `json:"pool"`
	DataCentre string `json:"dataCentre"`
	Instance   string `json:"instance"`
	Term       uint64 `json:"term"`
	LeaseValid bool   `json:"leaseValid"`
}

// HoldStatus is a hold on a data centre and the instances that have it.
type HoldStatus struct {
	DataCentre string    `json:"dataCentre"`
	Operator   string    `json:"operator"`
	Ends       time.Time `json:"ends"`
	Instances  []string  `json:"instances"`
}

// Cut is an instance that can't reach others.
type Cut struct {
	Instance string   `json:"instance"`
	From     []string `json:"from"`
}

// Status is the state of the system as its instances tell it.
type Status struct {
	// Revision is the newest one that an instance has adopted or that stands in
	// the log.
	Revision uint64 `json:"revision"`
	// Adopted and Answering are the numbers of instances that have adopted the
	// revision, and that answered.
	Adopted   int `json:"adopted"`
	Answering int `json:"answering"`
	// Behind are the answering instances with an older revision.
	Behind    []string         `json:"behind"`
	Instances []InstanceStatus `json:"instances"`
	Servers   []ServerStatus   `json:"backendServers"`
	Queues    []QueueStatus    `json:"queues"`
	Owners    []OwnerStatus    `json:"owners"`
	Holds     []HoldStatus     `json:"holds"`
	Cuts      []Cut            `json:"cuts"`
	// Warnings say which sources did not answer.
	Warnings []string `json:"warnings"`
}

// Status asks every entry instance for its state. An instance that doesn't
// answer is part of the result. It returns an error only if no instance can be
// found.
func (q Queries) Status(ctx context.Context) (Status, error) {
	instances, warnings, err := q.askAll(ctx)
	if err != nil {
		return Status{}, err
	}
	s := Status{
		Instances: instances, Warnings: warnings, Behind: []string{}, Servers: []ServerStatus{},
		Queues: []QueueStatus{}, Owners: []OwnerStatus{}, Holds: []HoldStatus{}, Cuts: []Cut{},
	}
	if h, err := q.console.Load(ctx); err == nil {
		s.Revision = h.Catalogue.Revision
	} else {
		s.Warnings = append(s.Warnings, "the log doesn't answer, the newest revision is the instances' one: "+firstLine(err))
	}
	for _, i := range instances {
		s.Revision = max(s.Revision, i.Revision)
	}
	for _, i := range instances {
		if i.Answers {
			s.add(i)
		}
	}
	s.sort()
	return s, nil
}

// add sums up what an instance says.
func (s *Status) add(i InstanceStatus) {
	s.Answering++
	if i.Revision >= s.Revision {
		s.Adopted++
	} else {
		s.Behind = append(s.Behind, i.Name)
	}
	for _, b := range i.status.Servers {
		s.Servers = append(s.Servers, ServerStatus{
			Name: b.Name, Pool: b.Pool, DataCentre: b.DataCentre, Warmth: b.Warmth.String(),
			InFlight: b.InFlight, Limit: b.Limit, Leaving: b.IsLeaving(), Instance: i.Name,
		})
	}
	for _, d := range i.status.Queues {
		s.Queues = append(s.Queues, QueueStatus{DataCentre: i.DataCentre, Pool: d.Pool, Class: d.Class, Waiting: d.Waiting, Instance: i.Name})
	}
	for _, o := range i.status.Ownerships {
		s.Owners = append(s.Owners, OwnerStatus{Pool: o.Pool, DataCentre: o.DataCentre, Instance: i.Name, Term: o.Term, LeaseValid: o.LeaseValid})
	}
	for _, h := range i.status.Holds {
		s.addHold(i.Name, HoldStatus{DataCentre: h.DataCentre, Operator: h.Operator, Ends: h.EndsAt})
	}
	cut := Cut{Instance: i.Name}
	for _, m := range i.status.Members {
		if !m.IsReachable && m.Name != i.Name {
			cut.From = append(cut.From, m.Name)
		}
	}
	if len(cut.From) > 0 {
		slices.Sort(cut.From)
		s.Cuts = append(s.Cuts, cut)
	}
}

// addHold adds a hold to the same one of other instances. Their ends differ a
// little, since holds travel with the time that is left.
func (s *Status) addHold(instance string, h HoldStatus) {
	n := slices.IndexFunc(s.Holds, func(o HoldStatus) bool { return o.DataCentre == h.DataCentre && o.Operator == h.Operator })
	if n < 0 {
		n = len(s.Holds)
		s.Holds = append(s.Holds, h)
	}
	if h.Ends.After(s.Holds[n].Ends) {
		s.Holds[n].Ends = h.Ends
	}
	s.Holds[n].Instances = append(s.Holds[n].Instances, instance)
}

func (s *Status) sort() {
	slices.SortFunc(s.Servers, func(a, b ServerStatus) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Instance, b.Instance))
	})
	// The classes of a queue keep the instance's order, which is by rank.
	slices.SortStableFunc(s.Queues, func(a, b QueueStatus) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Instance, b.Instance))
	})
	slices.SortFunc(s.Owners, func(a, b OwnerStatus) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Term, b.Term))
	})
	slices.SortFunc(s.Holds, func(a, b HoldStatus) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
}

// askAll asks all known instances for their state. Instances that only other
// instances know are asked too, so that one seed is enough without a list.
func (q Queries) askAll(ctx context.Context) ([]InstanceStatus, []string, error) {
	warnings := []string{}
	known := make([]InstanceStatus, 0, len(q.console.Seeds))
	for _, address := range q.console.Seeds {
		known = append(known, InstanceStatus{Address: address})
	}
	list, err := q.entries(ctx)
	if err != nil {
		warnings = append(warnings, "the platform's list of instances doesn't answer: "+firstLine(err))
	}
	known = withInstances(known, list)
	if len(known) == 0 {
		if err != nil {
			return nil, nil, err
		}
		return []InstanceStatus{}, append(warnings, "the platform lists no entry instance"), nil
	}
	asked := q.ask(ctx, known)
	if err != nil {
		more := withInstances(asked, membersOf(asked))[len(asked):]
		asked = append(asked, q.ask(ctx, more)...)
	}
	return distinct(asked), warnings, nil
}

// entries returns the entry instances of the platform's list.
func (q Queries) entries(ctx context.Context) ([]InstanceStatus, error) {
	ctx, cancel := expiry.WithTimeout(ctx, q.console.Timeout)
	defer cancel()
	list, err := q.console.List(ctx)
	if err != nil {
		return nil, err
	}
	var entries []InstanceStatus
	for _, i := range list {
		if i.Role == provider.EntryRole {
			entries = append(entries, InstanceStatus{Name: i.Name, DataCentre: i.DataCentre, Address: i.Address, Leaving: i.Leaving})
		}
	}
	return entries, nil
}

// withInstances adds the instances whose addresses are new.
func withInstances(known, more []InstanceStatus) []InstanceStatus {
	known = slices.Clone(known)
	for _, m := range more {
		if m.Address != "" && !slices.ContainsFunc(known, func(k InstanceStatus) bool { return k.Address == m.Address }) {
			known = append(known, m)
		}
	}
	return known
}

// membersOf returns the instances that others know.
func membersOf(asked []InstanceStatus) []InstanceStatus {
	var members []InstanceStatus
	for _, a := range asked {
		for _, m := range a.status.Members {
			members = append(members, InstanceStatus{Name: m.Name, DataCentre: m.DataCentre, Address: m.Address, Leaving: m.IsLeaving})
		}
	}
	return members
}

// distinct drops instances that were asked at two addresses and sorts by data
// centre and name.
func distinct(asked []InstanceStatus) []InstanceStatus {
	slices.SortStableFunc(asked, func(a, b InstanceStatus) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Address, b.Address))
	})
	return slices.CompactFunc(asked, func(a, b InstanceStatus) bool {
		return a.Answers && b.Answers && a.Name == b.Name && a.status.Incarnation == b.status.Incarnation
	})
}

// ask asks instances at the same time and returns them with their answers.
func (q Queries) ask(ctx context.Context, instances []InstanceStatus) []InstanceStatus {
	answers := slices.Clone(instances)
	var group errgroup.Group
	group.SetLimit(askedAtOnce)
	for n := range answers {
		group.Go(func() error {
			answers[n] = q.askOne(ctx, answers[n])
			return nil
		})
	}
	_ = group.Wait()
	return answers
}

func (q Queries) askOne(ctx context.Context, i InstanceStatus) InstanceStatus {
	ctx, cancel := expiry.WithTimeout(ctx, q.console.Timeout)
	defer cancel()
	s, err := q.console.Operator(i.Address).Status(ctx)
	if err != nil {
		i.Failure = firstLine(err)
		return i
	}
	return InstanceStatus{
		Name: s.Instance, DataCentre: s.DataCentre, Address: i.Address, Answers: true, Revision: s.CatalogueRevision,
		LogContactAgeMs: s.LogContactAge.Milliseconds(), Leaving: s.Leaving || i.Leaving, status: s,
	}
}

func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}
