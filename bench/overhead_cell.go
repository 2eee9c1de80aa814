package bench

import (
	"runtime"

	"lycheecrank.example/catalogue"
	"lycheecrank.example/request"
)

func cores() int { return runtime.NumCPU() }

// overheadCell returns one data centre whose servers answer at once, so that
// the time of a call is that of its messages.
func overheadCell() Cell {
	pool := func(name string, k request.Kind) catalogue.Entry {
		return catalogue.Entry{Kind: catalogue.PoolKind, Name: name, Owner: "bench", Class: "only", StageKind: k}
	}
	group := func(pool string) Group {
		return Group{Pool: pool, Count: 1, MaxInFlight: 256, ColdInFlight: 64, ColdForRequests: 8, PieceTokens: 1}
	}
	return Cell{
		Name: "overhead", Region: "loopback", DataCentres: []string{"espoo"}, Instances: 1, Owner: "bench", Class: "only",
		Entries: []catalogue.Entry{
			{Kind: catalogue.ClassKind, Name: "only", Owner: "bench", Class: "only"},
			{Kind: catalogue.WorkspaceKind, Name: "bench", Owner: "bench", Class: "only"},
			pool("encoders", request.Encode), pool("retrievers", request.Retrieve),
			pool("models", request.Generate), pool("portal", request.Call),
			{Kind: catalogue.PipelineKind, Name: "summary", Owner: "bench", Class: "only", Stages: []catalogue.Stage{
				{Name: "encode", Kind: request.Encode, Pool: "encoders"},
				{Name: "retrieve", Kind: request.Retrieve, Pool: "retrievers"},
				{Name: "generate", Kind: request.Generate, Pool: "models"},
			}},
			{Kind: catalogue.ServiceKind, Name: "portal-lookup", Owner: "bench", Class: "only", Pool: "portal", Operation: "lookup", Repeatable: true},
		},
		Servers: []Group{group("encoders"), group("retrievers"), group("models"), group("portal")},
	}
}
