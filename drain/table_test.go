package drain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
)

// Guards against attempts that the log of a shutdown counts twice, under another phase, or
// after their end, and against attempts with the same ID that replace each other.
func TestAttempts(t *testing.T) {
	arrived := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	table := NewTable()
	commands := table.Commands()
	var b strings.Builder
	show := func(what string) {
		fmt.Fprintf(&b, "%s: %d\n", what, table.Queries().Count())
		for _, a := range table.Queries().Attempts() {
			fmt.Fprintf(&b, "  %s, %s, arrived %v\n", a.ID, a.Phase, a.ArrivedAt.Sub(arrived))
		}
	}
	second := commands.Begin("a", arrived.Add(time.Second))
	first := commands.Begin("a", arrived)
	third := commands.Begin("b", arrived.Add(2*time.Second))
	show("begun")
	commands.Advance(first, Waiting)
	commands.Advance(second, Sent)
	commands.Advance(third, Answering)
	show("in three phases")
	commands.End(second)
	commands.Advance(second, Waiting)
	show("one has ended")
	goldie.New(t).Assert(t, "attempts", []byte(b.String()))
	is.New(t).Equal(table.Queries().Counts(), map[Phase]int{Waiting: 1, Answering: 1})
	var none Commands
	none.Advance(none.Begin("a", arrived), Sent)
}
