// Package editor reads the catalogue from the platform's log and submits edits
// to it, as the operators' command line does.
package editor

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"lycheecrank.example/catalogue"
	"lycheecrank.example/codec"
	"lycheecrank.example/platform"
)

// ErrUndecided is returned if an edit could not be read back: it may be in the
// log or not. Its identifier tells later.
var ErrUndecided = errors.New("edit undecided")

// History is the catalogue with the verdicts on the records that are still
// retained, oldest first.
type History struct {
	Catalogue catalogue.Catalogue
	Verdicts  []catalogue.Verdict
	// Edits holds the retained edits by offset.
	Edits map[uint64]catalogue.Edit
}

// Editor works on the catalogue's stream of the log. Concurrent calls are safe.
type Editor struct {
	Log *platform.Log
	// Patience bounds the time in which an edit is read back; 0 means 10 s.
	Patience time.Duration
}

// readBackPause is the wait between two attempts to read an edit back.
const readBackPause = 100 * time.Millisecond

// Load reads the catalogue and its history from the log.
func (e Editor) Load(ctx context.Context) (History, error) {
	records, err := e.readAll(ctx)
	if err != nil {
		return History{}, err
	}
	h := History{Edits: map[uint64]catalogue.Edit{}}
	numbered := make([]catalogue.Numbered, 0, len(records))
	for _, r := range records {
		// A record that can't be decoded changes nothing, as on the instances.
		var record catalogue.Record
		if codec.Unmarshal(r.Data, &record) != nil {
			record = catalogue.Record{}
		}
		if record.Edit != nil {
			h.Edits[r.Offset] = *record.Edit
		}
		numbered = append(numbered, catalogue.Numbered{Offset: r.Offset, Record: record})
	}
	h.Catalogue, h.Verdicts, err = catalogue.Replay(numbered)
	return h, err
}

func (e Editor) readAll(ctx context.Context) ([]platform.Record, error) {
	var records []platform.Record
	from := uint64(0)
	for {
		page, err := e.Log.Read(ctx, catalogue.Stream, from)
		if err != nil {
			return nil, err
		}
		records = append(records, page.Records...)
		from = page.Earliest
		if n := len(records); n > 0 {
			from = records[n-1].Offset + 1
		}
		if from >= page.Next {
			return records, nil
		}
	}
}

// NewEdit returns an edit with a fresh identifier.
func NewEdit(author string, changes []catalogue.Change) catalogue.Edit {
	return catalogue.Edit{ID: uuid.NewString(), Author: author, At: time.Now().UTC(), Changes: changes}
}

// Submit appends an edit once and reads the verdict back. A lost answer of the
// append is settled by reading, never by a repeat. It returns ErrUndecided if
// the edit was not found in time after an append that may have taken effect.
func (e Editor) Submit(ctx context.Context, edit catalogue.Edit) (catalogue.Verdict, error) {
	data, err := codec.Marshal(catalogue.Record{Edit: &edit})
	if err != nil {
		return catalogue.Verdict{}, err
	}
	_, appendErr := e.Log.Append(ctx, catalogue.Stream, data)
	if errors.Is(appendErr, platform.ErrRateLimited) {
		return catalogue.Verdict{}, appendErr
	}
	ctx, cancel := context.WithTimeout(ctx, e.patience())
	defer cancel()
	for {
		h, err := e.Load(ctx)
		if v, ok := h.verdictOn(edit.ID); err == nil && ok {
			return v, nil
		}
		timer := time.NewTimer(readBackPause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return catalogue.Verdict{}, eris.Wrapf(ErrUndecided, "edit %s: append: %v, read back: %v", edit.ID, appendErr, err)
		}
	}
}

func (e Editor) patience() time.Duration {
	if e.Patience > 0 {
		return e.Patience
	}
	return 10 * time.Second
}

// verdictOn returns the first verdict on an edit.
func (h History) verdictOn(editID string) (catalogue.Verdict, bool) {
	for _, v := range h.Verdicts {
		if v.EditID == editID {
			return v, true
		}
	}
	return catalogue.Verdict{}, false
}
