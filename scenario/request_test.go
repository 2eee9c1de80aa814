package scenario

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	callerv1 "lycheecrank.example/api/caller/v1"
	"lycheecrank.example/api/caller/v1/callerv1connect"
)

const (
	// defaultTimeout is the deadline of the pipelines that the design is for.
	defaultTimeout = 6 * time.Second
	// answerGrace is how long after its deadline a request's answer is awaited, so
	// that a late answer is told from a lost one.
	answerGrace = 5 * time.Second
)

// errBroken is returned for a stream whose pieces don't fit its end mark.
var errBroken = errors.New("the pieces don't match the end mark")

// exchange is a request to an instance with its answer.
type exchange struct {
	response *callerv1.RunResponse
	// pieces and restarts count the events of a stream.
	pieces   int
	restarts int
}

// send sends a request to an instance, streamed or not, and reads the whole
// answer.
func (s *scene) send(address string, m *callerv1.RunRequest, streamed bool) (exchange, error) {
	limit := time.Duration(max(0, m.GetTimeoutMs()))*time.Millisecond + answerGrace
	ctx, cancel := context.WithTimeout(s.ctx, limit)
	defer cancel()
	client := callerv1connect.NewPipelineServiceClient(s.client, "http://"+address)
	if streamed {
		return readStream(ctx, client, m)
	}
	res, err := client.Run(ctx, connect.NewRequest(m))
	if err != nil {
		return exchange{}, err
	}
	return exchange{response: res.Msg}, nil
}

func readStream(ctx context.Context, client callerv1connect.PipelineServiceClient, m *callerv1.RunRequest) (exchange, error) {
	stream, err := client.RunStream(ctx, connect.NewRequest(m))
	if err != nil {
		return exchange{}, err
	}
	defer func() { _ = stream.Close() }()
	var e exchange
	var output []byte
	for stream.Receive() {
		switch {
		case stream.Msg().GetPiece() != nil:
			p := stream.Msg().GetPiece()
			if int(p.GetNumber()) != e.pieces {
				return e, eris.Wrapf(errBroken, "piece %d came as number %d", p.GetNumber(), e.pieces)
			}
			e.pieces++
			output = append(output, p.GetData()...)
		case stream.Msg().GetRestart() != nil:
			e.restarts++
			e.pieces, output = 0, nil
		case stream.Msg().GetEnd() != nil:
			return e.ended(stream.Msg().GetEnd(), output)
		}
	}
	if err := stream.Err(); err != nil {
		return e, err
	}
	return e, eris.New("the stream ended without an end mark")
}

func (e exchange) ended(end *callerv1.StreamEnd, output []byte) (exchange, error) {
	sum := sha256.Sum256(output)
	if int(end.GetPieces()) != e.pieces || end.GetLengthBytes() != uint64(len(output)) || string(end.GetSha256()) != string(sum[:]) {
		return e, eris.Wrapf(errBroken, "%d pieces with %d bytes", e.pieces, len(output))
	}
	e.response = end.GetResponse()
	e.response.Output = output
	return e, nil
}

// runOptions is what a script asks to be sent.
type runOptions struct {
	to       []string
	message  *callerv1.RunRequest
	streamed bool
}

func parseRun(args []string) (runOptions, error) {
	if len(args) < 3 {
		return runOptions{}, eris.New("usage: run WORKSPACE TARGET [flags] INPUT")
	}
	m := &callerv1.RunRequest{Workspace: args[0], Target: args[1]}
	flags := flag.NewFlagSet("run", flag.ContinueOnError)
	to := flags.String("to", "", "instances, links or addresses, with commas")
	flags.StringVar(&m.Key, "key", "", `key of the request, or "new"`)
	flags.StringVar(&m.Class, "class", "", "class that the request asks for")
	flags.StringVar(&m.RequestId, "id", "", "request identifier")
	flags.Int64Var(&m.TimeoutMs, "timeout-ms", defaultTimeout.Milliseconds(), "time until the deadline")
	streamed := flags.Bool("stream", false, "stream the answer")
	if err := flags.Parse(args[2:]); err != nil || flags.NArg() != 1 {
		return runOptions{}, eris.Errorf("one INPUT is needed after the flags: %v", err)
	}
	if m.Key == "new" {
		m.Key = uuid.Must(uuid.NewV7()).String()
	}
	m.Input = []byte(flags.Arg(0))
	return runOptions{to: strings.Split(*to, ","), message: m, streamed: *streamed}, nil
}

// run WORKSPACE TARGET [flags] INPUT sends a request to one instance, or to
// several at once, and prints the answers in the order of the instances.
func run(s *scene, args []string) (string, error) {
	o, err := parseRun(args)
	if err != nil {
		return "", err
	}
	answers := make([]string, len(o.to))
	var group errgroup.Group
	for i, to := range o.to {
		address, err := s.address(to)
		if err != nil {
			return "", err
		}
		group.Go(func() error {
			e, err := s.send(address, o.message, o.streamed)
			if err == nil {
				answers[i] = printed(e)
			}
			return err
		})
	}
	err = group.Wait()
	return strings.Join(answers, ""), err
}

// pending is a request whose answer a script takes later.
type pending struct {
	// answered is closed once text or err is set.
	answered chan struct{}
	text     string
	err      error
}

// sendOnly (send NAME WORKSPACE TARGET [flags] INPUT) does what run does, but
// doesn't wait for the answer.
func sendOnly(s *scene, args []string) (string, error) {
	if len(args) == 0 || s.sent[args[0]] != nil {
		return "", eris.New("usage: send NAME WORKSPACE TARGET [flags] INPUT, with a new NAME")
	}
	if _, err := parseRun(args[1:]); err != nil {
		return "", err
	}
	p := &pending{answered: make(chan struct{})}
	s.sent[args[0]] = p
	s.group.Go(func() error {
		defer close(p.answered)
		p.text, p.err = run(s, args[1:])
		return nil
	})
	return "", nil
}

// answer NAME waits for the answer to a request that was sent and prints it.
func answer(s *scene, args []string) (string, error) {
	if len(args) != 1 || s.sent[args[0]] == nil {
		return "", eris.New("usage: answer NAME")
	}
	p := s.sent[args[0]]
	<-p.answered
	return p.text, p.err
}

func printed(e exchange) string {
	var out strings.Builder
	a := e.response
	fmt.Fprintf(&out, "outcome %s\n", name(a.GetOutcome()))
	if r := a.GetRefusal(); r != nil {
		fmt.Fprintf(&out, "reason %s repeatable %t: %s\n", r.GetCode(), r.GetRepeatable(), r.GetMessage())
	}
	if a.GetClass() != "" {
		fmt.Fprintf(&out, "class %s\n", a.GetClass())
	}
	for _, st := range a.GetStages() {
		fmt.Fprintf(&out, "stage %s by %s in %s\n", st.GetStage(), st.GetBackendServer(), st.GetDataCentre())
	}
	if e.restarts > 0 {
		fmt.Fprintf(&out, "restarts %d\n", e.restarts)
	}
	if len(a.GetOutput()) > 0 {
		fmt.Fprintf(&out, "output %s\n", strings.TrimSpace(string(a.GetOutput())))
	}
	return out.String()
}

// name returns an outcome as the design page writes it.
func name(o callerv1.Outcome) string {
	switch o {
	case callerv1.Outcome_OUTCOME_NOT_RUN:
		return "notRun"
	case callerv1.Outcome_OUTCOME_RAN:
		return "ran"
	case callerv1.Outcome_OUTCOME_MAY_HAVE_RUN:
		return "mayHaveRun"
	default:
		return o.String()
	}
}

// newKey (key VARIABLE) puts a fresh key into a variable of the script.
func newKey(s *scene, args []string) (string, error) {
	if len(args) != 1 {
		return "", eris.New("usage: key VARIABLE")
	}
	s.setenv(args[0], uuid.Must(uuid.NewV7()).String())
	return "", nil
}

// outcome INSTANCE WORKSPACE KEY prints what became of a key.
func outcome(s *scene, args []string) (string, error) {
	if len(args) != 3 {
		return "", eris.New("usage: outcome INSTANCE WORKSPACE KEY")
	}
	address, err := s.address(args[0])
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(s.ctx, answerGrace)
	defer cancel()
	client := callerv1connect.NewPipelineServiceClient(s.client, "http://"+address)
	res, err := client.GetOutcome(ctx, connect.NewRequest(&callerv1.GetOutcomeRequest{Workspace: args[1], Key: args[2]}))
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("outcome %s running %t\n", name(res.Msg.GetOutcome()), res.Msg.GetRunning()), nil
}

// get INSTANCE PATH prints the status and the body of an HTTP GET.
func get(s *scene, args []string) (string, error) {
	if len(args) != 2 {
		return "", eris.New("usage: get INSTANCE PATH")
	}
	return s.http(http.MethodGet, args[0], args[1], "", nil)
}

// post INSTANCE PATH FILE prints the answer to an HTTP POST with a file as JSON
// body, as a caller without a client library sends it. FILE:N pads the file's
// text with blanks to N bytes.
func post(s *scene, args []string) (string, error) {
	if len(args) != 3 {
		return "", eris.New("usage: post INSTANCE PATH FILE[:BYTES]")
	}
	file, size := args[2], 0
	if before, after, ok := strings.Cut(file, ":"); ok {
		file = before
		if _, err := fmt.Sscan(after, &size); err != nil {
			return "", err
		}
	}
	body, err := s.expanded(file)
	if err != nil {
		return "", err
	}
	padding := strings.Repeat(" ", max(0, size-len(body)))
	return s.http(http.MethodPost, args[0], args[1], "application/json", strings.NewReader(string(body)+padding))
}

// reasonHeader names the reason for which a message could not be read.
const reasonHeader = "Lycheecrank-Reason"

func (s *scene) http(method, to, path, contentType string, body io.Reader) (string, error) {
	address, err := s.address(to)
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(s.ctx, defaultTimeout+answerGrace)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return "", err
	}
	if contentType != "" {
		req.Header.Set("Content-Type", contentType)
	}
	res, err := s.client.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	out := fmt.Sprintf("status %d\n", res.StatusCode)
	if reason := res.Header.Get(reasonHeader); reason != "" {
		out += "reason " + reason + "\n"
	}
	return out + string(text) + "\n", err
}

// sendFrame (frame ADDRESS LENGTH HEX) sends one frame with a stated length and
// the given bytes to a peer port and waits until the other side closes the
// connection.
func sendFrame(s *scene, args []string) (string, error) {
	if len(args) != 3 {
		return "", eris.New("usage: frame ADDRESS LENGTH HEX")
	}
	var length uint32
	if _, err := fmt.Sscan(args[1], &length); err != nil {
		return "", err
	}
	content, err := hex.DecodeString(args[2])
	if err != nil {
		return "", err
	}
	var dialer net.Dialer
	c, err := dialer.DialContext(s.ctx, "tcp", args[0])
	if err != nil {
		return "", err
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write(append(binary.BigEndian.AppendUint32(nil, length), content...)); err != nil {
		return "", err
	}
	if err := c.SetReadDeadline(time.Now().Add(startLimit)); err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, c)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return "", eris.Wrap(err, "the connection stayed open")
	}
	return "closed\n", nil
}
