package request_test

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lycheecrank.example/request"
)

// Guards against a reason that is missing from the operators' documentation.
func TestEveryReasonIsDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	is.NoErr(err)
	for _, r := range request.Reasons() {
		is.True(strings.Contains(string(page), "`"+string(r)+"`")) // docs/OPERATIONS.md lists every reason
	}
}
