package standin_test

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/sebdah/goldie/v2"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"lycheecrank.example/standin"
	"lycheecrank.example/standin/fault"
)

// transcript records calls and their answers in a synctest bubble, to compare
// them with a golden file.
type transcript struct {
	t       *testing.T
	loop    *loopback
	standin *standin.Standin
	out     strings.Builder
}

// contract runs calls against a stand-in and compares the transcript with the
// golden file of the test.
func contract(t *testing.T, name string, build func() *standin.Standin, calls func(tr *transcript)) {
	t.Run(name, func(t *testing.T) { compare(t, name, record(t, build, calls)) })
}

// record returns the transcript of calls against a stand-in.
func record(t *testing.T, build func() *standin.Standin, calls func(tr *transcript)) string {
	tr := &transcript{}
	synctest.Test(t, func(t *testing.T) {
		tr.t = t
		tr.standin = build()
		tr.loop = &loopback{handler: tr.standin.Handler}
		calls(tr)
		tr.standin.Stop()
		tr.loop.running.Wait()
	})
	return tr.out.String()
}

func compare(t *testing.T, name, text string) {
	goldie.New(t, goldie.WithFixtureDir("testdata"), goldie.WithNameSuffix(".golden")).Assert(t, name, []byte(text))
}

func (tr *transcript) printf(format string, values ...any) { fmt.Fprintf(&tr.out, format, values...) }

func (tr *transcript) fault(f fault.Fault) { tr.standin.SetFault(f) }

// part returns a transcript for a call that runs beside others.
func (tr *transcript) part() *transcript {
	return &transcript{t: tr.t, loop: tr.loop, standin: tr.standin}
}

// answer prints a message, or an error with its code.
func (tr *transcript) answer(m proto.Message, err error) {
	if err != nil {
		tr.printf("  = %s: %s\n", connect.CodeOf(err), strings.TrimPrefix(err.Error(), connect.CodeOf(err).String()+": "))
		return
	}
	tr.printf("  = %s\n", compact(tr.t, m))
}

// incarnations are random, so that golden files can't have them.
var incarnations = regexp.MustCompile(`"incarnation":"[0-9a-f-]{36}"`)

func compact(t *testing.T, m proto.Message) string {
	data, err := protojson.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	// protojson varies its white space on purpose.
	var v any
	if err := json.Unmarshal(data, &v); err != nil {
		t.Fatal(err)
	}
	data, _ = json.Marshal(readable("", v))
	return incarnations.ReplaceAllString(string(data), `"incarnation":"*"`)
}

// readable decodes the fields that hold texts in bytes.
func readable(field string, v any) any {
	switch v := v.(type) {
	case map[string]any:
		for k := range v {
			v[k] = readable(k, v[k])
		}
	case []any:
		for i := range v {
			v[i] = readable(field, v[i])
		}
	case string:
		if slices.Contains([]string{"data", "input", "output", "prompt", "cache"}, field) {
			text, _ := base64.StdEncoding.DecodeString(v)
			return string(text)
		}
	}
	return v
}

// message is a pointer to a protobuf message M.
type message[M any] interface {
	*M
	proto.Message
}

// unary calls an RPC and prints request, answer and time.
func unary[Q, A any, PQ message[Q], PA message[A]](tr *transcript, f func(context.Context, *connect.Request[Q]) (*connect.Response[A], error), req PQ) PA {
	name := string(req.ProtoReflect().Descriptor().Name())
	start := time.Now()
	res, err := f(tr.t.Context(), connect.NewRequest((*Q)(req)))
	tr.printf("%s %s%s\n", strings.TrimSuffix(name, "Request"), compact(tr.t, req), took(start))
	if err != nil {
		tr.answer(nil, err)
		return nil
	}
	tr.answer(PA(res.Msg), nil)
	return PA(res.Msg)
}

// stream calls an RPC and prints at most limit messages, the time of each, and
// how the stream ended.
func stream[Q, A any, PQ message[Q], PA message[A]](tr *transcript, limit int, f func(context.Context, *connect.Request[Q]) (*connect.ServerStreamForClient[A], error), req PQ) {
	name := string(req.ProtoReflect().Descriptor().Name())
	tr.printf("%s %s\n", strings.TrimSuffix(name, "Request"), compact(tr.t, req))
	// The handler has ended when the next call of the transcript begins.
	defer synctest.Wait()
	ctx, cancel := context.WithCancel(tr.t.Context())
	defer cancel()
	start := time.Now()
	s, err := f(ctx, connect.NewRequest((*Q)(req)))
	if err != nil {
		tr.answer(nil, err)
		return
	}
	defer func() { _ = s.Close() }()
	for range limit {
		if !s.Receive() {
			if s.Err() != nil {
				tr.answer(nil, s.Err())
			} else {
				tr.printf("  end%s\n", took(start))
			}
			return
		}
		tr.printf("  - %s%s\n", compact(tr.t, PA(s.Msg())), took(start))
	}
}

func took(start time.Time) string {
	if d := time.Since(start); d > 0 {
		return fmt.Sprintf(" (%s)", d)
	}
	return ""
}

// counts prints what the stand-in has counted.
func (tr *transcript) counts() {
	counts, _ := json.Marshal(tr.standin.Counts())
	tr.printf("counts %s\n", counts)
}
