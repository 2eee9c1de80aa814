package route

// Draft is a configuration as it is written, with its order, its duplicates and values
// that are out of range. It is an immutable value.
type Draft struct {
	Version    int64
	Limits     Limits
	Routes     []DraftRoute
	Pools      []Pool
	Workspaces []Workspace
}

// DraftRoute is a route as it is written.
type DraftRoute struct {
	// Route may have a MaxServers below 1; 0 stands for a missing one.
	Route
	// IgnoredPool is a pool that is named besides Targets and has no effect.
	IgnoredPool string
}

// Configuration returns the configuration that a draft results in. Values below their
// least one count as the least one.
func (d Draft) Configuration() Configuration {
	routes := make([]Route, 0, len(d.Routes))
	for _, r := range d.Routes {
		r.MaxServers = max(1, r.MaxServers)
		routes = append(routes, r.Route)
	}
	pools := make([]Pool, 0, len(d.Pools))
	for _, p := range d.Pools {
		if p.Batch != nil {
			limited := *p.Batch
			limited.Slots, limited.MaxPieces = max(1, limited.Slots), max(1, limited.MaxPieces)
			p.Batch = &limited
		}
		pools = append(pools, p)
	}
	return NewConfiguration(d.Version, d.Limits, routes, pools, d.Workspaces)
}
