package bench

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// ActionKind is what is done to a cell during a run.
type ActionKind string

// The kinds of actions.
const (
	// TakeOut and BringBack change the state of a data centre in the catalogue.
	TakeOut   ActionKind = "takeOut"
	BringBack ActionKind = "bringBack"
	// Kill ends an instance without a drain, Drain with one. Instances are
	// counted from 1.
	Kill  ActionKind = "kill"
	Drain ActionKind = "drain"
	// TurnCold makes a server, or all of a data centre, cold.
	TurnCold ActionKind = "turnCold"
	// FreezePlatform and DownPlatform hold and refuse all calls of the platform
	// until HealPlatform.
	FreezePlatform ActionKind = "freezePlatform"
	DownPlatform   ActionKind = "downPlatform"
	HealPlatform   ActionKind = "healPlatform"
)

var (
	namedActions   = []ActionKind{TakeOut, BringBack, Kill, Drain, TurnCold}
	unnamedActions = []ActionKind{FreezePlatform, DownPlatform, HealPlatform}
)

// Action is done at a time of a run.
type Action struct {
	At   time.Duration
	Kind ActionKind
	// Name is the data centre, server or number of an instance.
	Name string
}

// String returns the action as ParseAction reads it.
func (a Action) String() string {
	return strings.TrimSpace(fmt.Sprintf("%s %s %s", a.At, a.Kind, a.Name))
}

// ParseAction reads "TIME KIND NAME" or "TIME KIND".
func ParseAction(text string) (Action, error) {
	fields := strings.Fields(text)
	if len(fields) < 2 {
		return Action{}, eris.Errorf("action %q: must be TIME KIND [NAME]", text)
	}
	at, err := time.ParseDuration(fields[0])
	a := Action{At: at, Kind: ActionKind(fields[1])}
	switch {
	case err != nil || at < 0:
		return a, eris.Errorf("action %q: %q is no time from 0s on", text, fields[0])
	case slices.Contains(namedActions, a.Kind) && len(fields) == 3:
		a.Name = fields[2]
	case slices.Contains(unnamedActions, a.Kind) && len(fields) == 2:
	default:
		return a, eris.Errorf("action %q: must be one of %v with a name, or of %v", text, namedActions, unnamedActions)
	}
	if _, err := strconv.Atoi(a.Name); err != nil && (a.Kind == Kill || a.Kind == Drain) {
		return a, eris.Errorf("action %q: needs the number of an instance", text)
	}
	return a, nil
}
