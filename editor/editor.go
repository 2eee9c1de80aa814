// Package editor reads the catalogue from the platform's log and submits edits
// to it, as the operators' command line does.
package editor

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"lycheecrank.example/catalogue"
	"lycheecrank.example/codec"
	"lycheecrank.example/provider"
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

	records []catalogue.Numbered
}

// ErrRevisionUnknown is returned for a revision that the retained records don't
// hold.
var ErrRevisionUnknown = errors.New("catalogue revision not retained")

// At returns the catalogue of a revision, which is in force from the accepted
// edit at that offset until the next accepted one. It returns
// ErrRevisionUnknown if no accepted edit has the offset or if the records have
// expired.
func (h History) At(revision uint64) (catalogue.Catalogue, error) {
	through := 0
	for n, r := range h.records {
		if s := r.Record.Snapshot; s != nil && s.Revision == revision {
			return catalogue.FromSnapshot(*s), nil
		}
		if r.Offset <= revision {
			through = n + 1
		}
	}
	c, _, err := catalogue.Replay(h.records[:through])
	if err != nil {
		return catalogue.Catalogue{}, eris.Wrapf(ErrRevisionUnknown, "revision %d: %v", revision, err)
	}
	if c.Revision != revision || revision == 0 {
		return catalogue.Catalogue{}, eris.Wrapf(ErrRevisionUnknown, "revision %d", revision)
	}
	return c, nil
}

// Editor works on the catalogue's stream of the log. Concurrent calls are safe.
type Editor struct {
	Log *provider.Log
	// Patience bounds the time in which an edit is read back; 0 means 10 s.
	Patience time.Duration
	// Timeout bounds each call to the log; 0 means 5 s.
	Timeout time.Duration
}

// readBackPause is the wait between two attempts to read an edit back.
const readBackPause = 100 * time.Millisecond

// Load reads the catalogue and its history from the log.
func (e Editor) Load(ctx context.Context) (History, error) {
	records, err := ReadStream(ctx, e.read, catalogue.Stream)
	if err != nil {
		return History{}, err
	}
	h := History{Edits: map[uint64]catalogue.Edit{}}
	for _, r := range records {
		// A record that can't be decoded changes nothing, as on the instances.
		var record catalogue.Record
		if codec.Unmarshal(r.Data, &record) != nil {
			record = catalogue.Record{}
		}
		if record.Edit != nil {
			h.Edits[r.Offset] = *record.Edit
		}
		h.records = append(h.records, catalogue.Numbered{Offset: r.Offset, Record: record})
	}
	h.Catalogue, h.Verdicts, err = catalogue.Replay(h.records)
	return h, err
}

func (e Editor) read(ctx context.Context, stream string, from uint64) (provider.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, e.timeout())
	defer cancel()
	return e.Log.Read(ctx, stream, from)
}

func (e Editor) append(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, e.timeout())
	defer cancel()
	_, err := e.Log.Append(ctx, catalogue.Stream, data)
	return err
}

// Read returns a page of a stream from an offset on, as provider.Log.Read does.
type Read func(ctx context.Context, stream string, from uint64) (provider.Page, error)

// readAttempts bounds how often a read starts anew because records expired
// between two pages.
const readAttempts = 3

// ReadStream returns all retained records of a stream by offset. It returns
// provider.ErrExpired if records expire faster than they are read.
func ReadStream(ctx context.Context, read Read, stream string) ([]provider.Record, error) {
	var records []provider.Record
	var err error
	for range readAttempts {
		records, err = readOnce(ctx, read, stream)
		if !errors.Is(err, provider.ErrExpired) {
			break
		}
	}
	return records, err
}

func readOnce(ctx context.Context, read Read, stream string) ([]provider.Record, error) {
	byOffset := map[uint64]provider.Record{}
	from := uint64(0)
	for {
		page, err := read(ctx, stream, from)
		if err != nil {
			return nil, err
		}
		from = max(from, page.Earliest)
		next := from
		for _, r := range page.Records {
			byOffset[r.Offset] = r
			next = max(next, r.Offset+1)
		}
		if next >= page.Next {
			break
		}
		if next == from {
			return nil, eris.Wrapf(provider.ErrUnavailable, "read %s: no records from offset %d on, but the stream ends at %d", stream, from, page.Next)
		}
		from = next
	}
	return slices.SortedFunc(maps.Values(byOffset), func(a, b provider.Record) int {
		return cmp.Compare(a.Offset, b.Offset)
	}), nil
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
	appendErr := e.append(ctx, data)
	if errors.Is(appendErr, provider.ErrRateLimited) {
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

func (e Editor) timeout() time.Duration {
	if e.Timeout > 0 {
		return e.Timeout
	}
	return 5 * time.Second
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
