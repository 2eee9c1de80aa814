package main

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/goccy/go-yaml"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	callerv1 "lycheecrank.example/api/caller/v1"
	"lycheecrank.example/api/caller/v1/callerv1connect"
	"lycheecrank.example/catalogue"
	"lycheecrank.example/editor"
	"lycheecrank.example/instance"
	"lycheecrank.example/provider"
	"lycheecrank.example/request"
	"lycheecrank.example/settings"
	"lycheecrank.example/standin"
	"lycheecrank.example/standin/work"
)

//go:embed demo/catalogue.yaml
var demoCatalogue string

//go:embed demo/requests.yaml
var demoRequests []byte

const (
	demoLimit   = 30 * time.Second
	demoTimeout = 8 * time.Second
	demoRetry   = 100 * time.Millisecond
)

// errNotAnswered is returned by the demo if a request was not answered.
var errNotAnswered = errors.New("a request of the demo was not answered")

// demoRequest is a request of the demo's file.
type demoRequest struct {
	Workspace string `yaml:"workspace"`
	Target    string `yaml:"target"`
	Input     string `yaml:"input"`
	// Keyed requests may not be repeated and get a fresh key.
	Keyed bool `yaml:"keyed"`
	// RepeatLastKey sends the key of the request before once more.
	RepeatLastKey bool `yaml:"repeatLastKey"`
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run stand-ins and one instance in this process, send some requests, print the answers and exit",
		Action: func(ctx context.Context, c *cli.Command) error {
			return runDemo(ctx, c.Root().Writer, c.Root().ErrWriter)
		},
	}
}

// runDemo runs the demo with its answers on out and the instance's log on logs.
func runDemo(ctx context.Context, out, logs io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, demoLimit)
	defer cancel()
	serving, stop := context.WithCancel(ctx)
	var standins errgroup.Group
	err := playOnStandins(ctx, serving, &standins, out, logs)
	stop()
	return errors.Join(err, standins.Wait())
}

// playOnStandins plays the demo on stand-ins, which outlive the instance.
func playOnStandins(ctx, serving context.Context, group *errgroup.Group, out, logs io.Writer) error {
	addresses, err := startStandins(serving, group)
	if err != nil {
		return err
	}
	platformURL := "http://" + addresses["platform"]
	if err := submitCatalogue(ctx, platformURL, addresses); err != nil {
		return err
	}
	running, stop := context.WithCancel(ctx)
	var instances errgroup.Group
	address, err := startInstance(running, &instances, platformURL, logs)
	if err == nil {
		err = askInstance(ctx, address, out)
	}
	stop()
	return errors.Join(err, instances.Wait())
}

// askInstance sends the requests of the demo to an instance.
func askInstance(ctx context.Context, address string, out io.Writer) error {
	var requests []demoRequest
	if err := yaml.Unmarshal(demoRequests, &requests); err != nil {
		return eris.Wrap(err, "read the requests of the demo")
	}
	client := callerv1connect.NewPipelineServiceClient(http.DefaultClient, "http://"+address)
	return sendRequests(ctx, client, requests, out)
}

// startStandins starts the platform and the backend servers and returns their
// addresses by name.
func startStandins(ctx context.Context, group *errgroup.Group) (map[string]string, error) {
	addresses := map[string]string{}
	start := func(name string, s *standin.Standin) {
		ready := make(chan string, 1)
		group.Go(func() error {
			defer close(ready)
			return s.Run(ctx, "127.0.0.1:0", func(address string) { ready <- address })
		})
		addresses[name] = <-ready
	}
	start("platform", standin.NewPlatform(standin.PlatformOptions{}))
	options := func(name, pool string, speed time.Duration) standin.BackendOptions {
		return standin.BackendOptions{
			Name: name, DataCentre: "helsinki-a", Pool: pool, ServiceTime: speed,
			Platform: "http://" + addresses["platform"],
			Limits:   work.Limits{MaxInFlight: 8, ColdInFlight: 2, ColdForRequests: 2},
		}
	}
	for name, kind := range map[string]request.Kind{"encoder-1": request.Encode, "retriever-1": request.Retrieve, "reranker-1": request.Rerank} {
		s, err := standin.NewPool(kind, options(name, name, 3*time.Millisecond))
		if err != nil {
			return nil, err
		}
		start(name, s)
	}
	start("model-1", standin.NewEngine(standin.EngineOptions{BackendOptions: options("model-1", "models", 0), TokensPerSecond: 400}))
	start("registry-1", standin.NewService(options("registry-1", "recall-registry", 3*time.Millisecond)))
	for name, address := range addresses {
		if address == "" {
			return nil, eris.Errorf("stand-in %s did not start", name)
		}
	}
	return addresses, nil
}

func submitCatalogue(ctx context.Context, platformURL string, addresses map[string]string) error {
	text := demoCatalogue
	for name, address := range addresses {
		text = strings.ReplaceAll(text, "ADDRESS("+name+")", address)
	}
	file, err := catalogue.ReadFile([]byte(text), "catalogue.yaml")
	if err != nil {
		return err
	}
	e := editor.Editor{Log: provider.NewLog(http.DefaultClient, platformURL)}
	v, err := e.Submit(ctx, editor.NewEdit("demo", file.Changes(catalogue.Catalogue{})))
	if err != nil {
		return err
	}
	if v.Decision != catalogue.Accepted {
		return eris.Errorf("catalogue of the demo: %s: %s", v.Decision, v.Detail)
	}
	return nil
}

func startInstance(ctx context.Context, group *errgroup.Group, platformURL string, logs io.Writer) (string, error) {
	text := fmt.Sprintf(`
instance: {name: demo-1, dataCentre: helsinki-a}
listen: {callers: "127.0.0.1:0", peers: "127.0.0.1:0"}
platform: {log: %[1]q, instances: %[1]q}
drain: {balancerLag: 0s}
log: {level: warn}
`, platformURL)
	s, err := settings.Read([]byte(text), "demo settings")
	if err != nil {
		return "", err
	}
	i, err := instance.New(s, logs)
	if err != nil {
		return "", err
	}
	ready := make(chan string, 1)
	i.OnReady = func(callers, _ string) { ready <- callers }
	group.Go(func() error {
		defer close(ready)
		return i.Run(ctx)
	})
	address := <-ready
	if address == "" {
		return "", eris.New("the instance did not start")
	}
	return address, nil
}

func sendRequests(ctx context.Context, client callerv1connect.PipelineServiceClient, requests []demoRequest, out io.Writer) error {
	key := ""
	for n, r := range requests {
		if r.Keyed {
			key = uuid.Must(uuid.NewV7()).String()
		}
		m := &callerv1.RunRequest{Workspace: r.Workspace, Target: r.Target, Input: []byte(r.Input), TimeoutMs: demoTimeout.Milliseconds()}
		if r.Keyed || r.RepeatLastKey {
			m.Key = key
		}
		answer, err := send(ctx, client, m)
		if err != nil {
			return err
		}
		printAnswer(out, n+1, r, answer)
		if answer.GetOutcome() != callerv1.Outcome_OUTCOME_RAN {
			return eris.Wrapf(errNotAnswered, "request %d: %s", n+1, answer.GetRefusal().GetCode())
		}
	}
	return nil
}

// isWorthRepeating reports whether nothing was run and a repeat makes sense, or
// whether the first run of a key has not been recorded yet. The outcome of a key
// is written after its answer, so that a repeat at once may be early.
func isWorthRepeating(a *callerv1.RunResponse) bool {
	if a.GetRefusal().GetCode() == string(request.ReasonKeyInProgress) {
		return true
	}
	return a.GetOutcome() == callerv1.Outcome_OUTCOME_NOT_RUN && a.GetRefusal().GetRepeatable()
}

// send sends a request, again while the instance says that nothing was run and
// that a repeat makes sense, as while it reads the catalogue.
func send(ctx context.Context, client callerv1connect.PipelineServiceClient, m *callerv1.RunRequest) (*callerv1.RunResponse, error) {
	for {
		res, err := client.Run(ctx, connect.NewRequest(m))
		if err != nil {
			return nil, err
		}
		if !isWorthRepeating(res.Msg) {
			return res.Msg, nil
		}
		timer := time.NewTimer(demoRetry)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return res.Msg, nil
		}
	}
}

func printAnswer(out io.Writer, n int, r demoRequest, a *callerv1.RunResponse) {
	_, _ = fmt.Fprintf(out, "%d. %s asks %s (class %s): %s\n", n, r.Workspace, r.Target, a.GetClass(), outcomeName(a.GetOutcome()))
	for _, s := range a.GetStages() {
		_, _ = fmt.Fprintf(out, "   %-14s %-12s in %-11s by %s  waited %6.1f ms, ran %6.1f ms\n",
			s.GetStage(), s.GetBackendServer(), s.GetDataCentre(), s.GetInstance(),
			float64(s.GetWaitedUs())/1000, float64(s.GetExecutedUs())/1000)
	}
	if len(a.GetStages()) == 0 && a.GetOutcome() == callerv1.Outcome_OUTCOME_RAN {
		_, _ = fmt.Fprintln(out, "   answered from the record of the first run; nothing was run again")
	}
	_, _ = fmt.Fprintf(out, "   %s\n\n", strings.ReplaceAll(strings.TrimSpace(string(a.GetOutput())), "\n", "\n   "))
}

func outcomeName(o callerv1.Outcome) string {
	return strings.ToLower(strings.ReplaceAll(strings.TrimPrefix(o.String(), "OUTCOME_"), "_", " "))
}
