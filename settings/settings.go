// Package settings reads the YAML settings of the daemon. docs/SETTINGS.md lists
// them; it is generated from the table of this package.
package settings

import (
	"fmt"
	"strings"
	"time"
)

// Settings are the checked settings of one instance. They hold no secrets: the
// signing key is named by its file and never read here.
type Settings struct {
	Instance   Instance
	Listen     Listen
	Platform   Platform
	Workers    int
	Limits     Limits
	Drain      Drain
	Log        Log
	Precedence Precedence
	Timeouts   Timeouts
	Retry      Retry
}

// Instance names the instance and its place.
type Instance struct {
	Name       string
	DataCentre string
}

// Listen holds the addresses, as IP:port, that the instance listens on.
type Listen struct {
	Callers string
	Peers   string
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Log       string
	Instances string
}

// Limits bound the memory that callers and peers can take up.
type Limits struct {
	// MaxMessageBytes is the size of the largest message, in bytes.
	MaxMessageBytes int
	// MaxInFlight is the largest number of requests in flight.
	MaxInFlight int
	// MemoryMb is the memory of the process in megabytes; 0 for the limit of the process or
	// the memory of the machine.
	MemoryMb int
}

// Drain sets the times of a graceful shutdown.
type Drain struct {
	BalancerLag time.Duration
	Limit       time.Duration
}

// Log configures the log of events.
type Log struct {
	// Level is debug, info, warn or error.
	Level string
}

// Precedence configures the decision records.
type Precedence struct {
	// SigningKeyFile is the path of a PEM file with an Ed25519 key; empty for a
	// key that is generated at start.
	SigningKeyFile string
	// Buffer is the number of records kept while the log is down.
	Buffer int
	// Interval is the least time between two appends of records.
	Interval time.Duration
}

// Timeouts bound single calls to other processes.
type Timeouts struct {
	PeerDial time.Duration
	Platform time.Duration
}

// Retry configures the retry budget, a token bucket.
type Retry struct {
	// BudgetPerRequest is the number of tokens that each request adds.
	BudgetPerRequest float64
	// BudgetBurst is the capacity of the bucket in tokens.
	BudgetBurst int
}

// String returns all settings, one "path: value" a line, in the order of the
// table.
func (s Settings) String() string {
	var b strings.Builder
	for _, e := range table {
		fmt.Fprintf(&b, "%s: %s\n", e.Path, e.value(&s).format())
	}
	return b.String()
}
