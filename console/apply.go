package console

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"

	"lycheecrank.example/catalogue"
	"lycheecrank.example/editor"
)

// Applied is the result of an edit.
type Applied struct {
	// Verdict is empty if nothing was appended.
	Verdict catalogue.Decision `json:"verdict,omitempty"`
	// Revision is the offset of the edit, 0 if nothing was appended.
	Revision uint64      `json:"revision,omitempty"`
	EditID   string      `json:"edit,omitempty"`
	Changes  Differences `json:"changes"`
	DryRun   bool        `json:"dryRun,omitempty"`
}

// Text returns the result for people.
func (a Applied) Text() string {
	switch {
	case len(a.Changes) == 0:
		return "nothing to change\n"
	case a.DryRun:
		return a.Changes.Text() + "dry run: nothing was appended\n"
	}
	return a.Changes.Text() + fmt.Sprintf("%s: revision %d, edit %s\n", a.Verdict, a.Revision, a.EditID)
}

// Apply checks a file, submits it as one edit and returns the verdict. A dry
// run stops before the edit. It returns catalogue.FileFaults, ErrConflict or
// ErrInvalid if the edit is refused, and editor.ErrUndecided if that is not
// known.
func (c Commands) Apply(ctx context.Context, file NamedFile, dryRun bool) (Applied, error) {
	d, changes, err := c.queries.plan(ctx, file)
	if err != nil {
		return Applied{}, err
	}
	if dryRun || len(changes) == 0 {
		return Applied{Changes: d, DryRun: dryRun}, nil
	}
	return c.submit(ctx, d, changes)
}

// submit appends changes as one edit.
func (c Commands) submit(ctx context.Context, d Differences, changes []catalogue.Change) (Applied, error) {
	if c.console.Author == "" {
		return Applied{}, eris.Wrap(ErrUsage, "an edit needs an author")
	}
	v, err := c.console.Submit(ctx, editor.NewEdit(c.console.Author, changes))
	if err != nil {
		return Applied{}, err
	}
	switch v.Decision {
	case catalogue.Accepted:
		return Applied{Verdict: v.Decision, Revision: v.Offset, EditID: v.EditID, Changes: d}, nil
	case catalogue.Conflict:
		return Applied{}, eris.Wrap(ErrConflict, v.Detail)
	case catalogue.Invalid:
		return Applied{}, eris.Wrap(ErrInvalid, v.Detail)
	}
	return Applied{}, eris.Errorf("edit %s: unexpected verdict %s: %s", v.EditID, v.Decision, v.Detail)
}
