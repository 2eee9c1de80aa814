package scenario

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	operatorv1 "lycheecrank.example/api/operator/v1"
	"lycheecrank.example/api/operator/v1/operatorv1connect"
	"lycheecrank.example/catalogue"
	"lycheecrank.example/editor"
	"lycheecrank.example/provider"
	"lycheecrank.example/standin"
	"lycheecrank.example/standin/fault"
)

// bounds are the longest times that the design page promises for an event.
// "start" is none of them; it only ends a script that would wait for ever.
var bounds = map[string]time.Duration{
	"start":         startLimit,
	"configuration": 9 * time.Second,
	"leaving":       5 * time.Second,
	"takenOut":      5 * time.Second,
	// The lease runs out 10 s after the last renewal; the rest is the time until
	// the status shows it.
	"lease": 11 * time.Second,
	// A new owner takes over after 11 s of silence and waits 6 s before it gives
	// servers their full limits.
	"ownerChange": 17 * time.Second,
}

const (
	pollEvery    = 100 * time.Millisecond
	controlLimit = 5 * time.Second
)

// eventually BOUND PATTERN QUERY ARGS... repeats a query until it prints what
// the pattern matches.
func eventually(s *scene, args []string) (string, error) {
	if len(args) < 3 {
		return "", eris.New("usage: eventually BOUND PATTERN QUERY ARGS...")
	}
	limit, ok := bounds[args[0]]
	query, known := queries()[args[2]]
	if !ok || !known {
		return "", eris.Errorf("no bound %q or no query %q", args[0], args[2])
	}
	pattern, err := regexp.Compile("(?m)" + args[1])
	if err != nil {
		return "", err
	}
	began := time.Now()
	for {
		out, err := query(s, args[3:])
		if err == nil && pattern.MatchString(out) {
			return out, nil
		}
		if time.Since(began) > limit {
			return out, eris.Errorf("%q did not match within %s: %v\n%s", args[1], limit, err, out)
		}
		s.pause(pollEvery)
	}
}

// submit (catalogue FILE...) fills the script's variables into the files, submits
// their entries as one edit, prints the verdict and puts the new revision into the
// variable REVISION.
func submit(s *scene, args []string) (string, error) {
	address, err := s.address("platform")
	if err != nil {
		return "", err
	}
	e := editor.Editor{Log: provider.NewLog(s.client, "http://"+address)}
	history, err := e.Load(s.ctx)
	if err != nil {
		return "", err
	}
	var all catalogue.File
	for _, f := range args {
		data, err := s.expanded(f)
		if err != nil {
			return "", err
		}
		file, err := catalogue.ReadFile(data, f)
		var faults catalogue.FileFaults
		if errors.As(err, &faults) {
			return "", file.CheckReferences(history.Catalogue, faults)
		}
		if err != nil {
			return "", err
		}
		if len(args) == 1 {
			if err := file.Check(history.Catalogue, f); err != nil {
				return "", err
			}
		}
		all.Entries, all.Delete = append(all.Entries, file.Entries...), append(all.Delete, file.Delete...)
	}
	v, err := e.Submit(s.ctx, editor.NewEdit("scenario", all.Changes(history.Catalogue)))
	if err != nil {
		return "", err
	}
	if v.Decision != catalogue.Accepted {
		return "", eris.Errorf("%s: %s", v.Decision, v.Detail)
	}
	s.verdictAt = time.Now()
	s.setenv("REVISION", strconv.FormatUint(v.Offset, 10))
	return fmt.Sprintf("accepted %d\n", v.Offset), nil
}

// awaitBound (bound-passed BOUND) waits until a promised time has passed since
// the last accepted edit, after which the promise has to hold.
func awaitBound(s *scene, args []string) (string, error) {
	if len(args) != 1 || bounds[args[0]] == 0 {
		return "", eris.New("usage: bound-passed BOUND")
	}
	s.pause(time.Until(s.verdictAt.Add(bounds[args[0]])))
	return "", nil
}

func (s *scene) control(name string) (*standin.Control, error) {
	address, err := s.address(name)
	if err != nil {
		return nil, err
	}
	return standin.NewControl(s.client, "http://"+address), nil
}

func (s *scene) countsOf(name string) (map[string]int64, error) {
	control, err := s.control(name)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(s.ctx, controlLimit)
	defer cancel()
	return control.Counts(ctx)
}

// counts NAME prints what a stand-in has counted; counts NAME KEY OP VALUE checks
// one of the counts.
func counts(s *scene, args []string) (string, error) {
	if len(args) != 1 && len(args) != 4 {
		return "", eris.New("usage: counts NAME [KEY OP VALUE]")
	}
	all, err := s.countsOf(args[0])
	if err != nil {
		return "", err
	}
	if len(args) == 1 {
		var out strings.Builder
		for _, key := range slices.Sorted(maps.Keys(all)) {
			fmt.Fprintf(&out, "%s %d\n", key, all[key])
		}
		return out.String(), nil
	}
	want, err := strconv.ParseInt(args[3], 10, 64)
	if err != nil {
		return "", err
	}
	order := cmp.Compare(all[args[1]], want)
	holds, known := map[string]bool{
		"==": order == 0, "!=": order != 0, "<": order < 0, "<=": order <= 0, ">": order > 0, ">=": order >= 0,
	}[args[2]]
	if !known || !holds {
		return "", eris.Errorf("%s of %s is %d, want %s %d", args[1], args[0], all[args[1]], args[2], want)
	}
	return fmt.Sprintf("%s %d\n", args[1], all[args[1]]), nil
}

// note KEY NAME... remembers a count of stand-ins for unchanged.
func note(s *scene, args []string) (string, error) {
	if len(args) < 2 {
		return "", eris.New("usage: note KEY NAME...")
	}
	for _, n := range args[1:] {
		all, err := s.countsOf(n)
		if err != nil {
			return "", err
		}
		s.noted[n+" "+args[0]] = all[args[0]]
	}
	return "", nil
}

// unchanged KEY NAME... fails if a count that was noted has changed.
func unchanged(s *scene, args []string) (string, error) {
	if len(args) < 2 {
		return "", eris.New("usage: unchanged KEY NAME...")
	}
	for _, n := range args[1:] {
		all, err := s.countsOf(n)
		if err != nil {
			return "", err
		}
		before, ok := s.noted[n+" "+args[0]]
		if !ok || all[args[0]] != before {
			return "", eris.Errorf("%s of %s was %d and is %d (noted: %t)", args[0], n, before, all[args[0]], ok)
		}
	}
	return "unchanged\n", nil
}

// setFault (fault NAME [flags]) replaces the fault of a stand-in; without flags
// it ends the fault.
func setFault(s *scene, args []string) (string, error) {
	if len(args) == 0 {
		return "", eris.New("usage: fault NAME [flags]")
	}
	var f fault.Fault
	flags := flag.NewFlagSet("fault", flag.ContinueOnError)
	flags.StringVar(&f.Method, "method", "", "limit the fault to one RPC")
	remaining := flags.Uint("remaining", 0, "limit the fault to a number of calls")
	flags.DurationVar(&f.Delay, "delay", 0, "hold each call for some time")
	flags.DurationVar(&f.Lag, "lag", 0, "delay load reports, lists and tails")
	for name, field := range map[string]*bool{
		"fail": &f.Fail, "lose-answer": &f.LoseAnswer, "reorder": &f.Reorder, "repeat": &f.Repeat,
		"cut-short": &f.CutShort, "freeze": &f.Freeze, "cold": &f.Cold, "down": &f.Down,
		"foreign": &f.Foreign, "leaving": &f.Leaving,
	} {
		flags.BoolVar(field, name, false, "see lycheestand control --help")
	}
	if err := flags.Parse(args[1:]); err != nil || flags.NArg() > 0 {
		return "", eris.Errorf("wrong flags %v: %v", flags.Args(), err)
	}
	f.Remaining = uint32(*remaining)
	control, err := s.control(args[0])
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(s.ctx, controlLimit)
	defer cancel()
	return "", control.SetFault(ctx, f)
}

// status INSTANCE prints what an instance tells operators.
func status(s *scene, args []string) (string, error) {
	if len(args) != 1 {
		return "", eris.New("usage: status INSTANCE")
	}
	address, err := s.address(args[0])
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(s.ctx, controlLimit)
	defer cancel()
	client := operatorv1connect.NewQueryServiceClient(s.client, "http://"+address)
	res, err := client.GetStatus(ctx, connect.NewRequest(&operatorv1.GetStatusRequest{}))
	if err != nil {
		return "", err
	}
	m := res.Msg
	var out strings.Builder
	fmt.Fprintf(&out, "revision %d leaving %t\n", m.GetCatalogueRevision(), m.GetLeaving())
	for _, i := range m.GetInstances() {
		fmt.Fprintf(&out, "instance %s in %s leaving %t reachable %t\n", i.GetName(), i.GetDataCentre(), i.GetLeaving(), i.GetReachable())
	}
	for _, o := range m.GetOwnerships() {
		fmt.Fprintf(&out, "owns %s lease %t\n", o.GetPool(), o.GetLeaseValid())
	}
	for _, b := range m.GetServers() {
		fmt.Fprintf(&out, "server %s %s limit %d leaving %t\n", b.GetName(), b.GetWarmth(), b.GetLimit(), b.GetLeaving())
	}
	return out.String(), nil
}

// owner POOL INSTANCE... puts the instance that owns a pool into the variable
// OWNER and another one, which is of the same data centre if the list is, into
// OTHER.
func owner(s *scene, args []string) (string, error) {
	if len(args) < 3 {
		return "", eris.New("usage: owner POOL INSTANCE INSTANCE...")
	}
	for i, name := range args[1:] {
		out, err := status(s, []string{name})
		if err != nil {
			return "", err
		}
		if strings.Contains(out, "owns "+args[0]+" lease true") {
			other := args[1:][(i+1)%len(args[1:])]
			s.setenv("OWNER", name)
			s.setenv("OTHER", other)
			return fmt.Sprintf("owner %s other %s\n", name, other), nil
		}
	}
	return "", eris.Errorf("none of %v owns %s", args[1:], args[0])
}
