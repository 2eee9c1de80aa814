package claim_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"lycheecrank.example/claim"
	"lycheecrank.example/codec"
	"lycheecrank.example/request"
)

// parseRecord builds a record from words such as "claim A contagem d" (identifier,
// workspace, digest) or "outcome A ran".
func parseRecord(k claim.Key, words []string) claim.Record {
	r := claim.Record{Kind: claim.KindClaim, Key: k, ClaimID: claim.ID{words[1][0]}, Instance: "node" + words[1]}
	if words[0] == "claim" {
		r.Workspace, r.RequestDigest = words[2], claim.Digest{words[3][0]}
		return r
	}
	for _, o := range []request.Outcome{request.NotRun, request.Ran, request.MayHaveRun} {
		if o.String() == words[2] {
			return r.WithOutcome(o, claim.NewResult([]byte("result of "+words[1])))
		}
	}
	return claim.Record{}
}

// Guards against two active claims of a key, and against a state that is changed by
// an outcome of a claim that is not active or by a duplicate record. The records
// of each case are in states.txt.
func TestStateTransitions(t *testing.T) {
	is := is.New(t)
	script, err := os.ReadFile("testdata/states.txt")
	is.NoErr(err)
	k := keyAt(time.UnixMilli(1), 1)
	var b strings.Builder
	var st claim.State
	for offset, line := range strings.Split(strings.TrimSpace(string(script)), "\n") {
		if strings.HasPrefix(line, "#") {
			st = claim.State{}
			fmt.Fprintln(&b, line)
			continue
		}
		r := parseRecord(k, strings.Fields(line))
		before := st
		st = st.WithRecord(uint64(offset)+1, r)
		is.Equal(st.WithRecord(uint64(offset)+1, r), st) // a second record at the same offset changes nothing
		r.ClaimID, r.Instance = claim.ID{'Z'}, "nodeZ"
		before.WithRecord(uint64(offset)+1, r) // must not write to memory that st shares
		c, _ := st.ActiveClaim()
		fmt.Fprintf(&b, "%-24s active %s, waiting %d, outcome %v %q\n", line, strings.TrimPrefix(c.Instance, "node"), st.WaitingCount(), st.Outcome(), st.Result().Output)
	}
	goldie.New(t).Assert(t, "states", []byte(b.String()))
}

// Guards against accepting keys of other UUID versions or notations, and against a
// wrong timestamp.
func TestParseKey(t *testing.T) {
	var b strings.Builder
	for _, text := range []string{
		"019395d2-f000-7abc-8def-0123456789ab", "019395D2-F000-7ABC-8DEF-0123456789AB",
		"019395d2f0007abc8def0123456789ab", "{019395d2-f000-7abc-8def-0123456789ab}", "",
		"019395d2-f000-4abc-8def-0123456789ab", "019395d2-f000-7abc-0def-0123456789ab", "019395d2-f000-7abc-8def-0123456789ag",
	} {
		k, err := claim.ParseKey(text)
		fmt.Fprintf(&b, "%q: %v, %s, %s, %v\n", text, k, k.Time().UTC().Format(time.RFC3339Nano), claim.StreamName(claim.StreamOf(k)), err)
	}
	goldie.New(t).Assert(t, "keys", []byte(b.String()))
}

// Guards against records that the log's codec can't encode and decode.
func TestRecordsSurviveCodec(t *testing.T) {
	is := is.New(t)
	r := parseRecord(keyAt(time.UnixMilli(7), 1), []string{"claim", "A", "contagem", "d"})
	for _, want := range []claim.Record{r, r.WithOutcome(request.Ran, claim.NewResult([]byte("x")))} {
		data, err := codec.Marshal(want)
		is.NoErr(err)
		var got claim.Record
		is.NoErr(codec.Unmarshal(data, &got))
		is.Equal(got, want)
	}
}

// Guards against unbounded memory, and against treating an expired key as new, even
// if the clock is set back.
func TestTableExpiresKeysAndResults(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := claim.NewTable()
	table.MaxResultBytes = 20
	commands, queries := table.Commands(), table.Queries()
	var keys []claim.Key
	for i := 0; len(keys) < 3; i++ {
		k := keyAt(now, i)
		if claim.StreamOf(k) != 0 {
			continue
		}
		keys = append(keys, k)
		offset := queries.AppliedThrough("claims.0") + 1
		is.NoErr(commands.SetNextOffset("claims.0", offset, now))
		is.NoErr(commands.ApplyRecords("claims.0", offset, []claim.Record{
			parseRecord(k, []string{"claim", "A", "w", "d"}), parseRecord(k, []string{"outcome", "A", "ran"}),
		}))
	}
	is.True(commands.ApplyRecords("claims.0", 9, nil) != nil) // records 7 and 8 are missing
	count, size := queries.Size()
	is.Equal([]int{count, size}, []int{3, 11}) // one of three outputs of 11 bytes
	st, _ := queries.State(keys[0])
	is.Equal(st.Result().Length, 11) // only the length of the oldest output is kept
	is.True(queries.HasAllRecords(keys[0]))
	commands.Expire(now.Add(13 * time.Minute))
	count, size = queries.Size()
	is.Equal([]int{count, size}, []int{0, 0})
	commands.Expire(now)
	is.True(!queries.HasAllRecords(keys[0]))
}
