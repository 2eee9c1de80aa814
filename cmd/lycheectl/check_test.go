package main

import (
	"testing"

	"lycheecrank.example/console"
	"lycheecrank.example/standin/fault"
	"lycheecrank.example/standin/store"
)

// Guards against a configuration with errors that a script takes for a sound one, against
// a check that needs the platform, and against differences that are hidden or show keys.
func TestCheckCommand(t *testing.T) {
	const sound, faults, next = "../../platform/testdata/check-sound.json", "../../platform/testdata/check-faults.json", "testdata/check-next.json"
	w := newWorld(t, store.Options{})
	w.platform.SetFault(fault.Fault{Down: true})
	w.run(console.Done, "check", "--help")
	w.run(console.CheckClean, "check", sound)
	w.run(console.CheckErrors, "check", faults)
	w.run(console.CheckErrors, "check", "../../platform/testdata/check-cut.json", "--against", sound)
	w.run(console.CheckWarnings, "check", next, "--against", sound)
	w.run(console.CheckWarnings, "check", next, "--against", sound, "--output", "json")
	w.run(console.CheckErrors, "--output", "text", "check", sound, "--against", sound)
	w.run(console.CheckClean, "check", "--output", "json", sound)
	w.run(console.Usage, "check")
	w.run(console.Usage, "check", sound, "--output", "xml")
	w.run(console.Usage, "check", sound, "--against", "testdata/none.json")
	w.run(console.Usage, "check", sound, "--against", "../../platform/testdata/check-types.json")
	w.assert("check")
}
