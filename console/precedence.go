package console

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"lycheecrank.example/catalogue"
	"lycheecrank.example/codec"
	"lycheecrank.example/editor"
	"lycheecrank.example/expiry"
	"lycheecrank.example/precedence"
	"lycheecrank.example/provider"
)

// PrecedenceStream is the stream of sealed decision records.
const PrecedenceStream = "precedence"

// UnreadableRecord is a record of the stream that is no sealed batch.
type UnreadableRecord struct {
	Offset uint64 `json:"offset"`
	Detail string `json:"detail"`
}

// Evidence says which decision records the log still holds.
type Evidence struct {
	// Earliest is the offset of the earliest retained record, 0 if there are none.
	Earliest uint64 `json:"earliest"`
	// Expired tells that earlier records are no longer retained, so that the
	// start of the chains can't be checked.
	Expired    bool               `json:"expired"`
	Unreadable []UnreadableRecord `json:"unreadable"`

	batches []precedence.Batch
	// offsets holds the offset of each batch.
	offsets []uint64
}

func (e Evidence) text() string {
	var b strings.Builder
	if e.Expired {
		fmt.Fprintf(&b, "records before offset %d have expired; the start of the chains can't be checked\n", e.Earliest)
	}
	for _, u := range e.Unreadable {
		fmt.Fprintf(&b, "unreadable: the record at offset %d: %s\n", u.Offset, u.Detail)
	}
	return b.String()
}

// evidence reads all retained decision records.
func (q Queries) evidence(ctx context.Context) (Evidence, error) {
	records, err := editor.ReadStream(ctx, q.readPage, PrecedenceStream)
	if err != nil {
		return Evidence{}, err
	}
	e := Evidence{Unreadable: []UnreadableRecord{}}
	if len(records) > 0 {
		e.Earliest = records[0].Offset
		e.Expired = e.Earliest > 1
	}
	sealer := precedence.Sealer{Encode: codec.Marshal, Decode: codec.Unmarshal}
	for _, r := range records {
		batch, err := sealer.Open(r.Data)
		if err != nil {
			e.Unreadable = append(e.Unreadable, UnreadableRecord{Offset: r.Offset, Detail: firstLine(err)})
			continue
		}
		e.batches = append(e.batches, batch)
		e.offsets = append(e.offsets, r.Offset)
	}
	return e, nil
}

func (q Queries) readPage(ctx context.Context, stream string, from uint64) (provider.Page, error) {
	ctx, cancel := expiry.WithTimeout(ctx, q.console.Timeout)
	defer cancel()
	return q.console.Read(ctx, stream, from)
}

func (e Evidence) verifier(keys Keys) precedence.Verifier {
	return precedence.Verifier{Keys: keys, AllowExpiredStart: e.Expired}
}

// Verification is the result of Verify.
type Verification struct {
	Evidence Evidence          `json:"evidence"`
	Report   precedence.Report `json:"report"`
	// Unregistered are the chains without a registered key, if keys were given.
	Unregistered []precedence.Origin `json:"unregistered"`
	// Offsets holds the log offsets of the batches that findings name, by index.
	Offsets map[int]uint64 `json:"offsets"`
	// Anchors are the chains whose end is in doubt, if the ends are kept apart from
	// the records.
	Anchors []precedence.AnchorFinding `json:"anchors,omitempty"`
}

// Intact reports whether all records are readable and nothing was found.
func (v Verification) Intact() bool {
	return v.Report.Intact() && len(v.Evidence.Unreadable) == 0 && len(v.Unregistered) == 0 && !v.isCutOff()
}

// isCutOff reports whether records that were anchored are missing or differ. A chain
// without an anchor is no proof of that: its process may have ended before the first.
func (v Verification) isCutOff() bool {
	return slices.ContainsFunc(v.Anchors, func(f precedence.AnchorFinding) bool { return f.Fault != precedence.AnchorMissing })
}

// Text returns the result for people.
func (v Verification) Text() string {
	var b strings.Builder
	b.WriteString(v.Evidence.text())
	writeUnregistered(&b, v.Unregistered)
	for _, f := range v.Anchors {
		fmt.Fprintln(&b, f)
	}
	seen := map[int]bool{}
	for _, f := range v.Report.Findings {
		if !seen[f.BatchIndex] {
			fmt.Fprintf(&b, "batch %d is the log record at offset %d\n", f.BatchIndex, v.Offsets[f.BatchIndex])
		}
		seen[f.BatchIndex] = true
	}
	text := v.Report.Text()
	if v.Report.Intact() && !v.Intact() {
		text = strings.TrimSuffix(strings.TrimSuffix(text, "intact\n"), "no records\n") + "not intact\n"
	}
	b.WriteString(text)
	return b.String()
}

// Verify checks all retained decision records. With keys, every chain must be
// signed with a registered one; without, the key of a chain is that of its
// first batch. It returns ErrViolated with the result if something is wrong.
func (q Queries) Verify(ctx context.Context, keys Keys) (Verification, error) {
	e, err := q.evidence(ctx)
	if err != nil {
		return Verification{}, err
	}
	v := Verification{Evidence: e, Report: e.verifier(keys).Verify(e.batches), Offsets: map[int]uint64{}}
	v.Unregistered = keys.unregistered(v.Report)
	for _, f := range v.Report.Findings {
		v.Offsets[f.BatchIndex] = e.offsets[f.BatchIndex]
	}
	if q.console.Anchors != nil {
		anchors, err := q.console.Anchors(ctx)
		if err != nil {
			return Verification{}, err
		}
		v.Anchors = precedence.CheckAnchors(e.batches, anchors)
	}
	if !v.Intact() {
		return v, eris.Wrapf(ErrViolated, "%d findings, %d unreadable records, %d chains without a registered key",
			len(v.Report.Findings), len(v.Evidence.Unreadable), len(v.Unregistered))
	}
	return v, nil
}

// Explained is the result of Explain.
type Explained struct {
	Evidence    Evidence               `json:"evidence"`
	Explanation precedence.Explanation `json:"explanation"`
	// Unregistered are the chains without a registered key, if keys were given.
	Unregistered []precedence.Origin `json:"unregistered"`
}

// Text returns the explanation for people.
func (e Explained) Text() string {
	var b strings.Builder
	b.WriteString(e.Evidence.text())
	writeUnregistered(&b, e.Unregistered)
	b.WriteString(e.Explanation.Text())
	return b.String()
}

func writeUnregistered(b *strings.Builder, chains []precedence.Origin) {
	for _, o := range chains {
		fmt.Fprintf(b, "unregistered: no key is known for instance %s, incarnation %s\n", o.Instance, o.Incarnation)
	}
}

// Explain says which of two requests, each given by its identifier or key, was
// served first, why, and whether the catalogue of that moment entitled it to. It
// returns precedence.ErrNotFound for a request without records, and ErrViolated
// with the result if the order was not entitled or the records are not intact.
func (q Queries) Explain(ctx context.Context, keys Keys, a, b string) (Explained, error) {
	e, err := q.evidence(ctx)
	if err != nil {
		return Explained{}, err
	}
	history, loadErr := q.console.Load(ctx)
	x, err := e.verifier(keys).Explain(e.batches, func(revision uint64) (precedence.ClassView, error) {
		if loadErr != nil {
			return precedence.ClassView{}, loadErr
		}
		c, err := history.AtRevision(revision)
		return classView(c), err
	}, a, b)
	if err != nil {
		return Explained{}, err
	}
	explained := Explained{Evidence: e, Explanation: x, Unregistered: keys.unregistered(e.verifier(keys).Verify(e.batches))}
	return explained, explained.violation()
}

func classView(c catalogue.Catalogue) precedence.ClassView {
	return precedence.ClassView{
		ClassRank: c.ClassRank,
		WorkspaceClass: func(workspace string) (string, bool) {
			w, ok := c.Entry(catalogue.WorkspaceKind, workspace)
			return w.Class, ok
		},
	}
}

func (e Explained) violation() error {
	x := e.Explanation
	if n := len(x.Findings) + len(e.Evidence.Unreadable) + len(e.Unregistered); n > 0 {
		return eris.Wrapf(ErrViolated, "the records are not intact: %d findings, unreadable records and unregistered chains", n)
	}
	for _, c := range x.Comparisons {
		if c.Verdict == precedence.VerdictNotEntitled {
			return eris.Wrap(ErrViolated, c.Detail)
		}
	}
	for _, c := range x.Entitlements {
		if c.Verdict == precedence.VerdictNotEntitled {
			return eris.Wrapf(ErrViolated, "request %s: %s", c.RequestID, c.Detail)
		}
	}
	return nil
}
