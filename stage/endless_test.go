package stage_test

import (
	"context"
	"encoding/binary"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	encoderv1 "lycheecrank.example/api/encoder/v1"
	"lycheecrank.example/api/encoder/v1/encoderv1connect"
	enginev1 "lycheecrank.example/api/engine/v1"
	"lycheecrank.example/backend"
	"lycheecrank.example/request"
	"lycheecrank.example/stage"
)

const (
	// maxAnswerBytes is the most that a faulty server may get rid of before the client
	// closes: the largest answer, and what the sockets of a loopback connection hold.
	// maxStreamBytes is the same for a stream, whose pieces repeat the identity of the step.
	maxAnswerBytes = stage.MaxOutputBytes + 8<<20
	maxStreamBytes = 4*stage.MaxOutputBytes + 8<<20
	// endlessBytes ends a server whose caller doesn't close.
	endlessBytes = 64 << 20
	blockBytes   = 64 << 10
)

// endlessServer answers each call with a part of a body at a time, until the caller closes.
type endlessServer struct {
	contentType string
	// next returns the part with a number, counted from 0.
	next    func(n int) []byte
	written atomic.Int64
}

func (s *endlessServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", s.contentType)
	for n := 0; s.written.Load() < endlessBytes && r.Context().Err() == nil; n++ {
		size, err := w.Write(s.next(n))
		s.written.Add(int64(size))
		if err != nil {
			return
		}
	}
}

// envelope returns a message of a stream.
func envelope(message []byte) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(message))), message...)
}

// piece returns a message with a piece of the step of a rig.
func piece(step request.Step, number uint32) []byte {
	message, err := proto.Marshal(&enginev1.ExecuteResponse{
		RequestId: step.RequestID, Stage: step.Stage, Attempt: step.Attempt,
		Event: &enginev1.ExecuteResponse_Piece{Piece: &enginev1.Piece{Number: number, Data: make([]byte, blockBytes)}},
	})
	if err != nil {
		panic(err)
	}
	return envelope(message)
}

// Guards against a client that keeps bytes that a faulty server sends without end: in the
// body of an answer, in one message of a stream, and in pieces, in order or not.
func TestAnswerWithoutEnd(t *testing.T) {
	block := make([]byte, blockBytes)
	// A field of bytes that is longer than any answer.
	field := append([]byte{0xa, 0xff, 0xff, 0xff, 0xff, 0x7}, block...)
	step := (&rig{kind: request.Generate}).step()
	for _, c := range []struct {
		name, contentType string
		kind              request.Kind
		next              func(n int) []byte
		want              request.Reason
	}{
		{"body", "application/proto", request.Encode, func(int) []byte { return field }, request.ReasonResultInvalid},
		{"body that is no answer", "text/plain", request.Encode, func(int) []byte { return block }, request.ReasonServerFailed},
		{"error", "application/json", request.Call, func(int) []byte { return block }, request.ReasonServerFailed},
		{"message of a stream", "application/connect+proto", request.Generate, func(n int) []byte {
			if n == 0 {
				return append(binary.BigEndian.AppendUint32([]byte{0}, 1<<31), block...)
			}
			return block
		}, request.ReasonResultInvalid},
		{"pieces", "application/connect+proto", request.Generate, func(n int) []byte { return piece(step, uint32(n)) }, request.ReasonResultInvalid},
		{"pieces after a missing one", "application/connect+proto", request.Generate, func(n int) []byte { return piece(step, uint32(n+1)) }, request.ReasonResultInvalid},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := &endlessServer{contentType: c.contentType, next: c.next}
			server := httptest.NewServer(s)
			defer server.Close()
			client := stage.NewClient(&http.Client{Transport: &http.Transport{DisableCompression: true}})
			step := (&rig{kind: c.kind}).step()
			e := client.Execute(t.Context(), step, backend.Server{Spec: backend.Spec{Name: "b", Address: server.Listener.Addr().String()}}, nil)
			is.True(e.Failure != nil)
			is.True(e.Failure.Sent)
			is.Equal(e.Failure.Reason, c.want)
			limit := int64(maxAnswerBytes)
			if c.kind == request.Generate {
				limit = maxStreamBytes
			}
			is.True(s.written.Load() < limit) // the client closes at its limit
		})
	}
}

// Guards against a check of TestAnswerWithoutEnd that can't fail: a client without limits
// reads until the server ends.
func TestAnswerWithoutEndVariant(t *testing.T) {
	is := is.New(t)
	block := make([]byte, blockBytes)
	s := &endlessServer{contentType: "application/proto", next: func(int) []byte { return block }}
	server := httptest.NewServer(s)
	defer server.Close()
	unbounded := encoderv1connect.NewEncoderServiceClient(http.DefaultClient, server.URL)
	client := stage.NewClient(http.DefaultClient)
	client.Encoder = func(string) stage.UnaryClient {
		return stage.UnaryClient{Execute: func(ctx context.Context, _ request.Step) (stage.Output, error) {
			_, err := unbounded.Encode(ctx, connect.NewRequest(&encoderv1.EncodeRequest{}))
			return stage.Output{}, err
		}}
	}
	step := (&rig{kind: request.Encode}).step()
	client.Execute(t.Context(), step, backend.Server{Spec: backend.Spec{Name: "b", Address: server.Listener.Addr().String()}}, nil)
	is.True(s.written.Load() > maxAnswerBytes)
}

// Guards against a load report without end.
func TestReportWithoutEnd(t *testing.T) {
	is := is.New(t)
	block := make([]byte, blockBytes)
	s := &endlessServer{contentType: "application/proto", next: func(int) []byte { return block }}
	server := httptest.NewServer(s)
	defer server.Close()
	client := stage.NewClient(&http.Client{Transport: &http.Transport{DisableCompression: true}})
	for _, kind := range request.Kinds() {
		s.written.Store(0)
		_, err := client.Load(context.Background(), kind, server.Listener.Addr().String())
		is.True(err != nil)
		is.True(s.written.Load() < maxAnswerBytes)
	}
}
