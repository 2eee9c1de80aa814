package settings

import "time"

// entry describes one setting.
type entry struct {
	// Path is the path of field names, joined by dots.
	Path string
	// Default is the text of the default value; ignored if Required.
	Default  string
	Required bool
	Meaning  string
	value    func(s *Settings) value
}

// table lists all settings in the order of docs/SETTINGS.md.
var table = []entry{
	{
		Path: "instance.name", Required: true, Meaning: "Name of the instance, unique in the region.",
		value: func(s *Settings) value { return name(&s.Instance.Name) },
	},
	{
		Path: "instance.dataCentre", Required: true, Meaning: "Data centre of the instance, as the catalogue names it.",
		value: func(s *Settings) value { return name(&s.Instance.DataCentre) },
	},
	{
		Path: "listen.callers", Default: "127.0.0.1:8470", Meaning: "Address for callers, operators, health and counters.",
		value: func(s *Settings) value { return address(&s.Listen.Callers) },
	},
	{
		Path: "listen.peers", Default: "127.0.0.1:8471", Meaning: "Address for other instances.",
		value: func(s *Settings) value { return address(&s.Listen.Peers) },
	},
	{
		Path: "platform.log", Required: true, Meaning: "Base URL of the platform's append-only log.",
		value: func(s *Settings) value { return baseURL(&s.Platform.Log) },
	},
	{
		Path: "platform.instances", Required: true, Meaning: "Base URL of the platform's list of instances.",
		value: func(s *Settings) value { return baseURL(&s.Platform.Instances) },
	},
	{
		Path: "workers", Default: "256", Meaning: "Workers, each of which has at most one step at a backend server.",
		value: func(s *Settings) value { return integer(&s.Workers, 1, 65536, "workers") },
	},
	{
		Path: "limits.maxMessageBytes", Default: "8388608", Meaning: "Largest message from a caller or peer.",
		value: func(s *Settings) value { return integer(&s.Limits.MaxMessageBytes, 1024, 8388608, "bytes") },
	},
	{
		Path: "limits.maxInFlight", Default: "4096", Meaning: "Requests in flight; further ones are refused.",
		value: func(s *Settings) value { return integer(&s.Limits.MaxInFlight, 1, 1000000, "requests") },
	},
	{
		Path: "limits.memoryMb", Default: "0", Meaning: "Memory of the process in megabytes, from which the bounds for bodies, answers and connections of callers follow (docs/design/intake.md); 0 takes the limit in GOMEMLIMIT, or else the memory of the machine. A fifth of it is for messages and answers, which no callers within the limits fill in normal operation.",
		value: func(s *Settings) value { return integer(&s.Limits.MemoryMb, 0, 1<<20, "megabytes") },
	},
	{
		Path: "drain.balancerLag", Default: "3s", Meaning: "Time from leaving until new requests are refused; the balancer must have noticed by then.",
		value: func(s *Settings) value { return duration(&s.Drain.BalancerLag, 0, time.Minute) },
	},
	{
		Path: "drain.limit", Default: "30s", Meaning: "Longest time that a leaving instance waits for its requests in flight.",
		value: func(s *Settings) value { return duration(&s.Drain.Limit, time.Second, 10*time.Minute) },
	},
	{
		Path: "log.level", Default: "info", Meaning: "Least level of the events that are logged.",
		value: func(s *Settings) value { return choice(&s.Log.Level, "debug", "info", "warn", "error") },
	},
	{
		Path: "precedence.signingKeyFile", Meaning: "PEM file (PKCS #8) with the Ed25519 key that signs decision records; without it a key is generated at start.",
		value: func(s *Settings) value { return path(&s.Precedence.SigningKeyFile) },
	},
	{
		Path: "precedence.buffer", Default: "100000", Meaning: "Decision records kept while the log is down; further ones are lost and counted in a gap record.",
		value: func(s *Settings) value { return integer(&s.Precedence.Buffer, 100, 10000000, "records") },
	},
	{
		Path: "precedence.interval", Default: "1s", Meaning: "Least time between two appends of decision records; hundreds of instances need 10s or more.",
		value: func(s *Settings) value { return duration(&s.Precedence.Interval, 100*time.Millisecond, time.Minute) },
	},
	{
		Path: "timeouts.peerDial", Default: "200ms", Meaning: "Bound for connecting to another instance.",
		value: func(s *Settings) value { return duration(&s.Timeouts.PeerDial, time.Millisecond, 10*time.Second) },
	},
	{
		Path: "timeouts.platform", Default: "2s", Meaning: "Bound for one call to a service of the platform.",
		value: func(s *Settings) value { return duration(&s.Timeouts.Platform, 10*time.Millisecond, time.Minute) },
	},
	{
		Path: "retry.budgetPerRequest", Default: "0.1", Meaning: "Tokens that each request adds to the retry budget; a retry takes one.",
		value: func(s *Settings) value { return number(&s.Retry.BudgetPerRequest, 0, 1, "tokens") },
	},
	{
		Path: "retry.budgetBurst", Default: "20", Meaning: "Capacity of the retry budget.",
		value: func(s *Settings) value { return integer(&s.Retry.BudgetBurst, 1, 10000, "tokens") },
	},
}
