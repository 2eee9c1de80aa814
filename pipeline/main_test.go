package pipeline_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and number of the property checks, so that every run
// checks the same cases. Command-line flags override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
