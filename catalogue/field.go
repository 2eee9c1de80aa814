package catalogue

import "strings"

// Field describes a field of entries for people.
type Field struct {
	// Path is the name in files.
	Path    string
	Type    string
	Default string
	Allowed string
	// Kinds are the kinds that use the field.
	Kinds   []Kind
	Meaning string
}

// KindNames returns the kinds as a list in words.
func (f Field) KindNames() string {
	if len(f.Kinds) == len(Kinds()) {
		return "all"
	}
	names := make([]string, 0, len(f.Kinds))
	for _, k := range f.Kinds {
		names = append(names, string(k))
	}
	return strings.Join(names, ", ")
}

// Fields returns all fields that entries have in files, in their order.
func Fields() []Field {
	of := func(kinds ...Kind) []Kind { return kinds }
	stages := of(PipelineKind)
	return []Field{
		{"kind", "text", "", "class, workspace, dataCentre, pool, server, pipeline, service", Kinds(), "What the entry is."},
		{"name", "text", "", "1 to 63 letters, digits, dots, underscores or hyphens, the first a letter or digit", Kinds(), "Name, unique among the entries of the kind."},
		{"owner", "text", "", "not empty", Kinds(), "Who answers for the entry."},
		{"class", "text", "", "name of a class; for a class its own name", Kinds(), "Best class of a workspace's, pipeline's or service's requests; lowest class that a pool, server or data centre serves."},
		{"limits", "mapping", "", "", Kinds(), "Bounds; 0 and no value stand for the default."},
		{"limits.maxInFlight", "integer", "no limit; 1 for a server", "0 to 1000000", of(WorkspaceKind, ServerKind, PipelineKind, ServiceKind), "Requests, or steps of a server, at a time."},
		{"limits.coldInFlight", "integer", "1", "0 to 1000000, not above maxInFlight", of(ServerKind), "Steps at a time that the server bears in cold start."},
		{"limits.maxQueued", "integer", "10000", "0 to 1000000", of(PoolKind), "Steps that wait for the pool on one instance."},
		{"limits.maxBodyBytes", "integer", "1048576", "0 to 8388608", of(PipelineKind, ServiceKind), "Bytes of a request's input."},
		{"limits.maxDeadline", "duration", "1m0s", "0s or longer", of(PipelineKind, ServiceKind), "Longest time that a request may ask for."},
		{"rank", "integer", "0", "0 to 100", of(ClassKind), "Order of the classes; 0 is served first."},
		{"weight", "integer", "1", "0 to 1000", of(WorkspaceKind), "Share of the workspace inside its class."},
		{"region", "text", "", "not empty", of(DataCentreKind), "Region of the data centre; steps prefer their own."},
		{"state", "text", "inService", "inService, takenOut", of(DataCentreKind, ServerKind), "What is taken out gets no new work."},
		{"stageKind", "text", "", "encode, retrieve, rerank, generate, call", of(PoolKind), "Kind of the stages that the pool serves."},
		{"model", "text", "", "", of(PoolKind), "Model of a pool of the stage kind generate."},
		{"pool", "text", "", "name of a pool", of(ServerKind, ServiceKind), "Pool of the server, or pool of the stage kind call that the service calls."},
		{"dataCentre", "text", "", "name of a data centre", of(ServerKind), "Data centre in which the server runs."},
		{"address", "text", "", "IP:port", of(ServerKind), "Where instances call the server."},
		{"stages", "list", "", "3 to 6", stages, "Stages of the pipeline, in their order."},
		{"stages[].name", "text", "", "not empty, unique in the pipeline", stages, "Name of the stage."},
		{"stages[].kind", "text", "", "stage kind of its pool", stages, "Kind of the stage."},
		{"stages[].pool", "text", "", "name of a pool", stages, "Pool that serves the stage."},
		{"stages[].share", "integer", "1", "0 to 1000", stages, "Share of the time left, relative to the shares of the stages still to come."},
		{"repeatable", "true or false", "false", "", of(ServiceKind), "Whether a call may be run more than once."},
		{"operation", "text", "", "not empty", of(ServiceKind), "Operation that the plain service is asked for."},
		{"revision", "integer", "that of the catalogue at the time of apply", "0 or larger", Kinds(), "Log offset of the edit that last changed the entry; in a file the revision that the change is based on."},
	}
}
