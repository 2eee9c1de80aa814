package request_test

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lycheecrank.example/request"
)

// Guards against a refusal that operators can't look up.
func TestEveryReasonIsDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	is.NoErr(err)
	for _, r := range request.Reasons() {
		is.True(strings.Contains(string(page), "`"+string(r)+"`")) // docs/OPERATIONS.md lists every reason
	}
}
