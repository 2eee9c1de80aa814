package scenario

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	callerv1 "lycheecrank.example/api/caller/v1"
	"lycheecrank.example/lock"
)

// Bounds of a load, so that a script can't flood the machine.
const (
	maxRate     = 100
	maxDuration = time.Minute
)

// The classes of answers. Every request of a load is counted in exactly one.
const (
	whole   = "whole"   // ran, in time, with the answer to this very request
	late    = "late"    // ran, after the deadline
	refused = "refused" // notRun
	unknown = "unknown" // mayHaveRun
	lost    = "lost"    // no answer, or a stream cut off before its end mark
	broken  = "broken"  // a stream whose pieces don't fit its end mark
	foreign = "foreign" // the answer to another request
)

// load sends requests at a steady rate, without waiting for answers.
type load struct {
	scene    *scene
	balancer *balancer
	options  loadOptions
	// stop ends the arrivals.
	stop  context.CancelFunc
	group errgroup.Group

	mu      *lock.Ranked
	sent    int
	tallies map[string]int
	details map[string]int
	// refusals has the first and the last refusal of each class and reason.
	refusals map[string][2]string
}

type loadOptions struct {
	name      string
	via       string
	workspace string
	target    string
	rate      float64
	duration  time.Duration
	timeout   time.Duration
	keyed     bool
	streamed  bool
}

// startLoad (load NAME --via A,B --workspace W --target T [flags]) starts a load
// in the background.
func startLoad(s *scene, args []string) (string, error) {
	if len(args) == 0 || s.loads[args[0]] != nil {
		return "", eris.New("usage: load NAME flags, with a new NAME")
	}
	o := loadOptions{name: args[0]}
	flags := flag.NewFlagSet("load", flag.ContinueOnError)
	flags.StringVar(&o.via, "via", "", "instances behind the balancer, with commas")
	flags.StringVar(&o.workspace, "workspace", "", "workspace")
	flags.StringVar(&o.target, "target", "", "pipeline or service")
	flags.Float64Var(&o.rate, "rate", 20, "requests a second")
	flags.DurationVar(&o.duration, "for", maxDuration, "time until the load ends by itself")
	flags.DurationVar(&o.timeout, "timeout", defaultTimeout, "deadline of each request")
	flags.BoolVar(&o.keyed, "keyed", false, "give each request a fresh key")
	flags.BoolVar(&o.streamed, "stream", false, "stream the answers")
	if err := flags.Parse(args[1:]); err != nil || flags.NArg() > 0 || o.via == "" {
		return "", eris.Errorf("wrong flags %v: %v", flags.Args(), err)
	}
	if o.rate <= 0 || o.rate > maxRate || o.duration > maxDuration {
		return "", eris.Errorf("at most %d requests a second for %s", maxRate, maxDuration)
	}
	l := &load{
		scene: s, balancer: newBalancer(s, strings.Split(o.via, ",")), options: o,
		mu: lock.New(rankPart, "load"), tallies: map[string]int{}, details: map[string]int{}, refusals: map[string][2]string{},
	}
	s.loads[o.name] = l
	ctx, stop := context.WithTimeout(s.ctx, o.duration)
	l.stop = stop
	l.balancer.check(ctx)
	s.group.Go(func() error {
		l.balancer.run(ctx)
		return nil
	})
	l.group.Go(func() error {
		l.arrive(ctx)
		return nil
	})
	return "", nil
}

// arrive starts a request at each tick.
func (l *load) arrive(ctx context.Context) {
	defer l.stop()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / l.options.rate))
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		l.mu.Lock()
		l.sent++
		l.mu.Unlock()
		l.group.Go(func() error {
			l.request(n)
			return nil
		})
	}
}

// request sends one request and counts its answer.
func (l *load) request(n int) {
	o := l.options
	// The word stands in every answer to this request and in no other one.
	word := fmt.Sprintf("%sno%d", strings.ToLower(o.name), n)
	m := &callerv1.RunRequest{
		Workspace: o.workspace, Target: o.target, TimeoutMs: o.timeout.Milliseconds(),
		RequestId: word, Input: []byte("dossier" + word),
	}
	if o.keyed {
		m.Key = uuid.Must(uuid.NewV7()).String()
	}
	entry := l.balancer.choose()
	if entry == "" {
		l.count(lost, "no instance is ready")
		return
	}
	address, err := l.scene.address(entry)
	if err != nil {
		l.count(lost, err.Error())
		return
	}
	began := time.Now()
	e, err := l.scene.send(address, m, o.streamed)
	if err != nil {
		class := lost
		if errors.Is(err, errBroken) {
			class = broken
		}
		l.count(class, entry)
		return
	}
	l.judge(e, m, entry, time.Since(began))
}

func (l *load) judge(e exchange, m *callerv1.RunRequest, entry string, took time.Duration) {
	a := e.response
	isOwn := bytes.Contains(a.GetOutput(), m.GetInput())
	switch {
	case a.GetRequestId() != m.GetRequestId():
		l.count(foreign, entry)
	case a.GetOutcome() == callerv1.Outcome_OUTCOME_NOT_RUN:
		l.countRefusal(refused, entry, a.GetRefusal())
	case a.GetOutcome() != callerv1.Outcome_OUTCOME_RAN:
		l.countRefusal(unknown, entry, a.GetRefusal())
	case !isOwn:
		l.count(foreign, entry)
	case took > l.options.timeout:
		l.count(late, entry)
	default:
		l.count(whole, entry)
	}
}

func (l *load) count(class, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tallies[class]++
	l.details[class+"."+detail]++
}

// countRefusal counts a refusal and keeps its message, which has the inputs of the
// decision.
func (l *load) countRefusal(class, entry string, refusal *callerv1.Refusal) {
	l.count(class, refusal.GetCode()+"."+entry)
	l.mu.Lock()
	defer l.mu.Unlock()
	reason := class + "." + refusal.GetCode()
	text := fmt.Sprintf("%s at %s: %s", time.Now().Format(time.StampMilli), entry, refusal.GetMessage())
	texts, known := l.refusals[reason]
	if !known {
		texts[0] = text
	}
	texts[1] = text
	l.refusals[reason] = texts
}

// String returns the counts of all classes, then those by reason or instance, then the
// first and the last refusal of each reason.
func (l *load) String() string {
	sent, answered := l.counts()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out strings.Builder
	fmt.Fprintf(&out, "sent %d\nanswered %d\n", sent, answered)
	for _, class := range []string{whole, late, refused, unknown, lost, broken, foreign} {
		fmt.Fprintf(&out, "%s %d\n", class, l.tallies[class])
	}
	for _, d := range slices.Sorted(maps.Keys(l.details)) {
		fmt.Fprintf(&out, "%s %d\n", d, l.details[d])
	}
	for _, reason := range slices.Sorted(maps.Keys(l.refusals)) {
		fmt.Fprintf(&out, "%s first %s\n%[1]s last %[3]s\n", reason, l.refusals[reason][0], l.refusals[reason][1])
	}
	return out.String()
}

func (s *scene) load(args []string) (*load, error) {
	if len(args) == 0 || s.loads[args[0]] == nil {
		return nil, eris.New("the name of a load is needed")
	}
	return s.loads[args[0]], nil
}

// stopLoad (load-stop NAME) ends the arrivals and waits for all answers.
func stopLoad(s *scene, args []string) (string, error) {
	l, err := s.load(args)
	if err != nil {
		return "", err
	}
	l.stop()
	_ = l.group.Wait()
	return l.String(), nil
}

// result (load-result NAME) prints the counts of a load that has ended.
func result(s *scene, args []string) (string, error) {
	l, err := s.load(args)
	if err != nil {
		return "", err
	}
	_ = l.group.Wait()
	return l.String(), nil
}

// progress (load-progress NAME) prints the counts of a running load.
func progress(s *scene, args []string) (string, error) {
	l, err := s.load(args)
	if err != nil {
		return "", err
	}
	return l.String(), nil
}

// awaitMore (load-more NAME N) waits until N requests that are sent from now on
// have been answered, in whatever way.
func awaitMore(s *scene, args []string) (string, error) {
	l, err := s.load(args)
	if err != nil || len(args) != 2 {
		return "", eris.New("usage: load-more NAME N")
	}
	more, err := strconv.Atoi(args[1])
	if err != nil {
		return "", err
	}
	sent, _ := l.counts()
	began := time.Now()
	for {
		if _, answered := l.counts(); answered >= sent+more {
			return l.String(), nil
		}
		if time.Since(began) > maxDuration {
			return "", eris.Errorf("the load didn't get %d more answers within %s\n%s", more, maxDuration, l)
		}
		s.pause(pollEvery)
	}
}

// counts returns how many requests were sent and how many answered.
func (l *load) counts() (sent, answered int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.tallies {
		answered += n
	}
	return l.sent, answered
}

// accounted LOAD STANDIN... checks that the operations which the services have
// executed are those of the load's answers: all that ran, none that was refused
// as not run, and the others at most once.
func accounted(s *scene, args []string) (string, error) {
	l, err := s.load(args)
	if err != nil || len(args) < 2 {
		return "", eris.New("usage: accounted LOAD STANDIN...")
	}
	_ = l.group.Wait()
	executed := 0
	for _, name := range args[1:] {
		all, err := s.countsOf(name)
		if err != nil {
			return "", err
		}
		if all["executedTwice"] > 0 {
			return "", eris.Errorf("%s executed %d keys twice", name, all["executedTwice"])
		}
		executed += int(all["executed"])
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	ran := l.tallies[whole] + l.tallies[late]
	most := ran + l.tallies[unknown] + l.tallies[lost]
	if executed < ran || executed > most {
		return "", eris.Errorf("%d operations were executed, but %d ran and at most %d may have run", executed, ran, most)
	}
	return fmt.Sprintf("executed %d of %d to %d\n", executed, ran, most), nil
}
