//go:build review3

package main

import "encoding/json"

type object = map[string]any

// routeOf returns a route of a configuration. Fields replace the defaults.
func routeOf(name, prefix, kind, service string, fields object) object {
	r := object{
		"name": name, "host": "recall.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": 800, "targetLatencyMs": 150, "priority": 2,
		"service": service, "maxAttempts": 2, "stages": []any{}, "anonymous": false, "sessionAffinity": false, "streamResume": false,
	}
	for k, v := range fields {
		r[k] = v
	}
	return r
}

func plainService(name string) object {
	return object{"name": name, "healthPath": "/healthz", "maxConnections": 96, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0}
}

func engineService(name string) object {
	s := plainService(name)
	s["maxConnections"], s["coldStartS"], s["coldPerS"] = 360, 3.0, 11.0
	s["engine"] = object{
		"slots": 64, "kvCapacity": 367584, "kvTokenBytes": 163840, "linkMbps": 550000.0, "moves": true, "backups": true, "stride": 4,
		"most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []any{object{"name": "m"}},
	}
	return s
}

// configuration is a version of op/config.
type configuration struct {
	version          int
	routes, services []object
	keys             []string
}

func (c configuration) encode() []byte {
	data, err := json.Marshal(object{
		"version": c.version, "routes": c.routes, "services": c.services,
		"limits":  object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{object{"name": "agency", "apiKeys": c.keys, "priority": 1}},
	})
	if err != nil {
		cannotRun("configuration: %v", err)
	}
	return data
}

// write writes the configuration to the store, whose answer is the acknowledgement.
func (c configuration) write(s *store) int {
	offset, ok := s.put("keyed.op", "config", c.encode())
	if !ok {
		cannotRun("the store didn't accept version %d", c.version)
	}
	note("the store has acknowledged version %d at offset %d", c.version, offset)
	return offset
}
