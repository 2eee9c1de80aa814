package standin_test

import (
	"sync"
	"testing"
	"time"

	encoderv1 "lycheecrank.example/api/encoder/v1"
	"lycheecrank.example/api/encoder/v1/encoderv1connect"
	enginev1 "lycheecrank.example/api/engine/v1"
	"lycheecrank.example/api/engine/v1/enginev1connect"
	platformv1 "lycheecrank.example/api/platform/v1"
	"lycheecrank.example/api/platform/v1/platformv1connect"
	rerankerv1 "lycheecrank.example/api/reranker/v1"
	"lycheecrank.example/api/reranker/v1/rerankerv1connect"
	retrieverv1 "lycheecrank.example/api/retriever/v1"
	"lycheecrank.example/api/retriever/v1/retrieverv1connect"
	servicev1 "lycheecrank.example/api/service/v1"
	"lycheecrank.example/api/service/v1/servicev1connect"
	"lycheecrank.example/request"
	"lycheecrank.example/standin"
	"lycheecrank.example/standin/store"
	"lycheecrank.example/standin/work"
)

func newPlatform() *standin.Standin {
	return standin.NewPlatform(standin.PlatformOptions{Store: store.Options{Retain: 3, AppendsPerSecond: 10}})
}

func newPool(kind request.Kind) func() *standin.Standin {
	return func() *standin.Standin {
		s, err := standin.NewPool(kind, standin.BackendOptions{Name: "b1", Pool: "p", ServiceTime: 5 * time.Millisecond})
		if err != nil {
			panic(err)
		}
		return s
	}
}

func newEngine() *standin.Standin {
	return standin.NewEngine(standin.EngineOptions{
		BackendOptions:  standin.BackendOptions{Name: "e1", Pool: "p", Limits: work.Limits{HonourFencing: true, CachedPrefixes: 1}, LoadLag: time.Second},
		TokensPerSecond: 100, PieceTokens: 4, Prefill: 20 * time.Millisecond, CacheLag: time.Second,
	})
}

func newService() *standin.Standin {
	return standin.NewService(standin.BackendOptions{Name: "s1", Pool: "p", ServiceTime: 5 * time.Millisecond})
}

// Guards against a stand-in that answers outside its protobuf contract: wrong
// offsets, identities, digests, codes or times.
func TestContract(t *testing.T) {
	contract(t, "log", newPlatform, func(tr *transcript) {
		c := platformv1connect.NewLogServiceClient(tr.loop.client(), "http://log")
		unary(tr, c.Append, &platformv1.AppendRequest{Stream: "a", Data: [][]byte{[]byte("1"), []byte("2")}})
		unary(tr, c.Append, &platformv1.AppendRequest{Stream: "a", Data: [][]byte{[]byte("3")}}) // waits for the limit
		unary(tr, c.Append, &platformv1.AppendRequest{Stream: "b"})
		unary(tr, c.Read, &platformv1.ReadRequest{Stream: "a", From: 1, Max: 2})
		stream(tr, 1, c.Tail, &platformv1.TailRequest{Stream: "a", From: 2})
		unary(tr, c.Append, &platformv1.AppendRequest{Stream: "a", Data: [][]byte{[]byte("4")}})
		unary(tr, c.Read, &platformv1.ReadRequest{Stream: "a", From: 1})
		unary(tr, c.Read, &platformv1.ReadRequest{Stream: "a", From: 9})
		stream(tr, 1, c.Tail, &platformv1.TailRequest{Stream: "a", From: 1})
		unary(tr, c.Read, &platformv1.ReadRequest{Stream: "none", From: 1})
	})
	contract(t, "instances", newPlatform, func(tr *transcript) {
		c := platformv1connect.NewInstancesServiceClient(tr.loop.client(), "http://list")
		unary(tr, c.Announce, &platformv1.AnnounceRequest{Instance: &platformv1.Instance{Name: "i1", Incarnation: "x", DataCentre: "espoo", Role: platformv1.InstanceRole_INSTANCE_ROLE_ENTRY, Address: "127.0.0.1:1", PeerAddress: "127.0.0.1:2"}})
		unary(tr, c.Announce, &platformv1.AnnounceRequest{Instance: &platformv1.Instance{Name: "i2"}})
		wait(6 * time.Second)
		unary(tr, c.Announce, &platformv1.AnnounceRequest{Instance: &platformv1.Instance{Name: "i2", Incarnation: "y", Leaving: true}})
		unary(tr, c.List, &platformv1.ListRequest{})
		wait(6 * time.Second) // i1 has expired
		unary(tr, c.List, &platformv1.ListRequest{})
	})
	query := []byte("which cycle helmet strap fails the shock test?")
	contract(t, "encoder", newPool(request.Encode), func(tr *transcript) {
		c := encoderv1connect.NewEncoderServiceClient(tr.loop.client(), "http://encoder")
		unary(tr, c.Encode, &encoderv1.EncodeRequest{RequestId: "r", Stage: "s", Attempt: 1, Input: query})
		unary(tr, c.Load, &encoderv1.LoadRequest{})
	})
	contract(t, "retriever", newPool(request.Retrieve), func(tr *transcript) {
		c := retrieverv1connect.NewRetrieverServiceClient(tr.loop.client(), "http://retriever")
		unary(tr, c.Retrieve, &retrieverv1.RetrieveRequest{RequestId: "r", Stage: "s", Attempt: 2, Input: standin.Encode(query), Top: 2})
		unary(tr, c.Load, &retrieverv1.LoadRequest{})
	})
	contract(t, "reranker", newPool(request.Rerank), func(tr *transcript) {
		c := rerankerv1connect.NewRerankerServiceClient(tr.loop.client(), "http://reranker")
		unary(tr, c.Rerank, &rerankerv1.RerankRequest{RequestId: "r", Stage: "s", Attempt: 1, Input: standin.Retrieve(query, 4), Top: 2})
		unary(tr, c.Load, &rerankerv1.LoadRequest{})
	})
	contract(t, "service", newService, func(tr *transcript) {
		c := servicev1connect.NewPlainServiceClient(tr.loop.client(), "http://service")
		unary(tr, c.Call, &servicev1.CallRequest{RequestId: "r1", Stage: "s", Attempt: 1, Key: "k1", Operation: "registerTally", Input: []byte("museu 12")})
		unary(tr, c.Call, &servicev1.CallRequest{RequestId: "r1", Stage: "s", Attempt: 2, Key: "k1", Operation: "registerTally", Input: []byte("museu 12")})
		unary(tr, c.Call, &servicev1.CallRequest{RequestId: "r2", Stage: "s", Attempt: 1, Key: "k2", Operation: "fileRecall", Input: []byte("kypärä 7")})
		unary(tr, c.Call, &servicev1.CallRequest{RequestId: "r3", Stage: "s", Attempt: 1, Operation: "lookup", Input: []byte("museu")})
		unary(tr, c.Call, &servicev1.CallRequest{RequestId: "r4", Stage: "s", Attempt: 1, Operation: "lookup"})
		unary(tr, c.Load, &servicev1.LoadRequest{})
		tr.counts()
	})
	contract(t, "engine", newEngine, func(tr *transcript) {
		c := enginev1connect.NewEngineServiceClient(tr.loop.client(), "http://engine")
		run := &enginev1.ExecuteRequest{RequestId: "r", Stage: "s", Attempt: 1, Prompt: query, MaxTokens: 10}
		stream(tr, 9, c.Execute, run)
		run.Attempt = 2
		stream(tr, 1, c.Execute, run) // cached prefix; the caller leaves after a piece
		stream(tr, 9, c.Resume, &enginev1.ResumeRequest{RequestId: "r", Stage: "s", Attempt: 2, From: 1})
		unary(tr, c.Cancel, &enginev1.CancelRequest{RequestId: "r", Stage: "s", Attempt: 2})
		unary(tr, c.Cancel, &enginev1.CancelRequest{RequestId: "other", Stage: "s", Attempt: 2})
		stream(tr, 9, c.Resume, &enginev1.ResumeRequest{RequestId: "r", Stage: "s", Attempt: 2})
		unary(tr, c.Order, &enginev1.OrderRequest{Kind: enginev1.OrderKind_ORDER_KIND_LOAD_MODEL, Model: "m", FencingNumber: 7})
		unary(tr, c.Order, &enginev1.OrderRequest{Kind: enginev1.OrderKind_ORDER_KIND_LOAD_MODEL, Model: "m", FencingNumber: 6})
		_, digest := work.Prefix(query)
		unary(tr, c.ExportCache, &enginev1.ExportCacheRequest{PrefixDigest: digest})
		unary(tr, c.ImportCache, &enginev1.ImportCacheRequest{PrefixDigest: digest, Cache: []byte("other")})
		prefix, other := work.Prefix([]byte("another prompt"))
		unary(tr, c.ImportCache, &enginev1.ImportCacheRequest{PrefixDigest: other, Cache: prefix}) // evicts the first
		unary(tr, c.ExportCache, &enginev1.ExportCacheRequest{PrefixDigest: digest})
		stream(tr, 3, c.CacheEvents, &enginev1.CacheEventsRequest{From: 1})
		unary(tr, c.Load, &enginev1.LoadRequest{})
		tr.counts()
	})
}

// Guards against refusals that callers can't tell apart: "cold:" means that the
// request had no effect, while a request that ran when its server fell over may
// have had one.
func TestRefusals(t *testing.T) {
	call := &servicev1.CallRequest{RequestId: "r", Stage: "s", Attempt: 1, Operation: "fileRecall", Input: []byte("helmet")}
	cold := func() *standin.Standin {
		return standin.NewService(standin.BackendOptions{
			Name: "s1", Pool: "p", ServiceTime: time.Second, Limits: work.Limits{MaxInFlight: 2, ColdForRequests: 1},
		})
	}
	contract(t, "refusals", cold, func(tr *transcript) {
		c := servicev1connect.NewPlainServiceClient(tr.loop.client(), "http://service")
		var running sync.WaitGroup
		var parts []*transcript
		beside := func() {
			part := tr.part()
			parts = append(parts, part)
			running.Go(func() { unary(part, c.Call, call) })
			wait(time.Millisecond)
		}
		beside()
		beside() // falls over
		running.Wait()
		beside() // refused for a second
		wait(time.Second)
		beside()
		running.Wait() // warm
		beside()
		beside()
		beside() // overloaded
		tr.standin.Stop()
		beside()
		running.Wait()
		for _, part := range parts {
			tr.printf("%s", part.out.String())
		}
		tr.counts()
	})
}

// Guards against a resumed stream that needs a second slot beside the stream it
// takes over, which would make a cold engine fall over.
func TestResumeOfRunningAttempt(t *testing.T) {
	cold := func() *standin.Standin {
		return standin.NewEngine(standin.EngineOptions{
			BackendOptions:  standin.BackendOptions{Name: "e1", Limits: work.Limits{ColdForRequests: 9}},
			TokensPerSecond: 100,
		})
	}
	contract(t, "resume", cold, func(tr *transcript) {
		c := enginev1connect.NewEngineServiceClient(tr.loop.client(), "http://engine")
		var running sync.WaitGroup
		first := tr.part()
		running.Go(func() {
			stream(first, 9, c.Execute, &enginev1.ExecuteRequest{RequestId: "r", Stage: "s", Attempt: 1})
		})
		wait(100 * time.Millisecond)
		stream(tr, 9, c.Resume, &enginev1.ResumeRequest{RequestId: "r", Stage: "s", Attempt: 1})
		running.Wait()
		tr.printf("%s", first.out.String())
		tr.counts()
	})
}

// wait lets the clock of the bubble advance.
func wait(d time.Duration) { <-time.After(d) }
