package settings

import "flag"

// goldie registers the flag -update, which this package reuses for
// docs/SETTINGS.md.
func updating() bool {
	f := flag.Lookup("update")
	return f != nil && f.Value.String() == "true"
}
