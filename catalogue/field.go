package catalogue

import "strings"

// Field describes a field of entries for the reference page docs/CATALOGUE.md.
type Field struct {
	// Path is the name of the field in files, such as "limits.maxInFlight".
	Path    string
	Type    string
	Default string
	Allowed string
	// Kinds are the kinds that use the field.
	Kinds   []Kind
	Meaning string
}

// KindNames returns the kinds separated by commas, or "all".
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
		{"kind", "text", "", "class, workspace, dataCentre, pool, server, pipeline, service", Kinds(), "Kind of the entry."},
		{"name", "text", "", "1 to 63 letters, digits, dots, underscores or hyphens, the first a letter or digit", Kinds(), "Name, unique within the kind."},
		{"owner", "text", "", "not empty", Kinds(), "Person or team responsible for the entry."},
		{"class", "text", "", "name of a class; for a class its own name", Kinds(), "Highest class (smallest rank) that requests of a workspace, pipeline or service can have; lowest class (largest rank) that a pool, server or data centre serves."},
		{"limits", "mapping", "", "", Kinds(), "Limits; a limit that is 0 or not set has its default."},
		{"limits.maxInFlight", "integer", "no limit; 1 for a server", "0 to 1000000", of(WorkspaceKind, ServerKind, PipelineKind, ServiceKind), "Largest number of concurrent requests, or of concurrent steps for a server."},
		{"limits.coldInFlight", "integer", "1", "0 to 1000000, not above maxInFlight", of(ServerKind), "Largest number of concurrent steps while the server is in cold start."},
		{"limits.maxQueued", "integer", "10000", "0 to 1000000", of(PoolKind), "Largest number of steps that wait for the pool on one instance."},
		{"limits.maxBodyBytes", "integer", "1048576", "0 to 8388608", of(PipelineKind, ServiceKind), "Largest input of a request in bytes."},
		{"limits.maxDeadline", "duration", "1m0s", "0s or longer", of(PipelineKind, ServiceKind), "Longest time until its deadline that a request may ask for."},
		{"rank", "integer", "0", "0 to 100", of(ClassKind), "Rank of the class; requests of rank 0 are served first."},
		{"weight", "integer", "1", "0 to 1000", of(WorkspaceKind), "Share of the workspace within its class, relative to the other workspaces."},
		{"region", "text", "", "not empty", of(DataCentreKind), "Region of the data centre; an instance prefers servers in its own data centre, then those in its region."},
		{"state", "text", "inService", "inService, takenOut", of(DataCentreKind, ServerKind), "A data centre or server that is taken out gets no new work."},
		{"stageKind", "text", "", "encode, retrieve, rerank, generate, call", of(PoolKind), "Kind of the stages that the pool serves."},
		{"model", "text", "", "", of(PoolKind), "Model of a pool of the stage kind generate."},
		{"pool", "text", "", "name of a pool", of(ServerKind, ServiceKind), "Pool of the server, or pool of the stage kind call whose servers run the service."},
		{"dataCentre", "text", "", "name of a data centre", of(ServerKind), "Data centre in which the server runs."},
		{"address", "text", "", "IP:port", of(ServerKind), "Address at which instances call the server."},
		{"stages", "list", "", "3 to 6", stages, "Stages of the pipeline, in their order."},
		{"stages[].name", "text", "", "not empty, unique in the pipeline", stages, "Name of the stage."},
		{"stages[].kind", "text", "", "stage kind of its pool", stages, "Kind of the stage."},
		{"stages[].pool", "text", "", "name of a pool", stages, "Pool that serves the stage."},
		{"stages[].share", "integer", "1", "0 to 1000", stages, "Share of the remaining time, relative to the shares of the remaining stages."},
		{"repeatable", "true or false", "false", "", of(ServiceKind), "Whether a call may be run more than once."},
		{"operation", "text", "", "not empty", of(ServiceKind), "Name of the operation that is called at the servers of the pool."},
		{"revision", "integer", "current revision of the entry when the file is applied", "0 or larger", Kinds(), "Log offset of the edit that last changed the entry; in a file, the revision on which the change is based."},
	}
}
