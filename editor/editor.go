// Package editor reads the catalogue from the platform's log and submits edits to
// it. The command line of operators uses it.
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
	"lycheecrank.example/expiry"
	"lycheecrank.example/provider"
)

// ErrUndecided is returned if an edit could not be read back: the log may contain
// it or not. To find out, load the history later and look for the identifier of the edit.
var ErrUndecided = errors.New("verdict on the edit is unknown")

// History is the current catalogue with the retained records.
type History struct {
	Catalogue catalogue.Catalogue
	// Verdicts holds the verdicts on the retained records, oldest first.
	Verdicts []catalogue.Verdict
	// Edits holds the retained edits by offset.
	Edits map[uint64]catalogue.Edit

	records []catalogue.NumberedRecord
}

// ErrRevisionUnknown is returned for a revision that never existed or that can't be
// restored from the retained records.
var ErrRevisionUnknown = errors.New("no such catalogue revision, or its records have expired")

// AtRevision returns the catalogue of a revision. A revision is the offset of an
// accepted edit and is in force until the next accepted edit. AtRevision returns
// ErrRevisionUnknown if there is no accepted edit at the offset or if its records
// have expired.
func (h History) AtRevision(revision uint64) (catalogue.Catalogue, error) {
	count := 0
	for n, r := range h.records {
		if s := r.Record.Snapshot; s != nil && s.Revision == revision {
			return catalogue.FromSnapshot(*s), nil
		}
		if r.Offset <= revision {
			count = n + 1
		}
	}
	c, _, err := catalogue.Replay(h.records[:count])
	if err != nil {
		return catalogue.Catalogue{}, eris.Wrapf(ErrRevisionUnknown, "revision %d: %v", revision, err)
	}
	if c.Revision != revision || revision == 0 {
		return catalogue.Catalogue{}, eris.Wrapf(ErrRevisionUnknown, "revision %d", revision)
	}
	return c, nil
}

// Editor reads and appends to the catalogue's stream of the log. Concurrent calls
// are safe.
type Editor struct {
	Log *provider.Log
	// ReadBackTimeout bounds the time to read an edit back after its append; 0
	// means 10 s.
	ReadBackTimeout time.Duration
	// CallTimeout bounds each call to the log; 0 means 5 s.
	CallTimeout time.Duration
}

// readBackInterval is the time between two attempts to read an edit back.
const readBackInterval = 100 * time.Millisecond

// Load reads the catalogue and its history from the log.
func (e Editor) Load(ctx context.Context) (History, error) {
	records, err := ReadStream(ctx, e.readPage, catalogue.StreamName)
	if err != nil {
		return History{}, err
	}
	h := History{Edits: map[uint64]catalogue.Edit{}}
	for _, r := range records {
		// A record that can't be decoded changes nothing; instances ignore it as well.
		var record catalogue.Record
		if codec.Unmarshal(r.Data, &record) != nil {
			record = catalogue.Record{}
		}
		if record.Edit != nil {
			h.Edits[r.Offset] = *record.Edit
		}
		h.records = append(h.records, catalogue.NumberedRecord{Offset: r.Offset, Record: record})
	}
	h.Catalogue, h.Verdicts, err = catalogue.Replay(h.records)
	return h, err
}

func (e Editor) readPage(ctx context.Context, stream string, from uint64) (provider.Page, error) {
	ctx, cancel := expiry.WithTimeout(ctx, e.callTimeout())
	defer cancel()
	return e.Log.Read(ctx, stream, from)
}

func (e Editor) appendRecord(ctx context.Context, data []byte) error {
	ctx, cancel := expiry.WithTimeout(ctx, e.callTimeout())
	defer cancel()
	_, err := e.Log.Append(ctx, catalogue.StreamName, data)
	return err
}

// PageReader returns the page of a stream from an offset on, as provider.Log.Read
// does.
type PageReader func(ctx context.Context, stream string, from uint64) (provider.Page, error)

// maxReadAttempts bounds the attempts to read a stream whose records expire
// between two pages.
const maxReadAttempts = 3

// ReadStream returns all retained records of a stream, sorted by offset. It returns
// provider.ErrExpired if records expire faster than they are read.
func ReadStream(ctx context.Context, read PageReader, stream string) ([]provider.Record, error) {
	var records []provider.Record
	var err error
	for range maxReadAttempts {
		records, err = readAllPages(ctx, read, stream)
		if !errors.Is(err, provider.ErrExpired) {
			break
		}
	}
	return records, err
}

func readAllPages(ctx context.Context, read PageReader, stream string) ([]provider.Record, error) {
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

// NewEdit returns an edit with a new identifier and the current time.
func NewEdit(author string, changes []catalogue.Change) catalogue.Edit {
	return catalogue.Edit{ID: uuid.NewString(), Author: author, CreatedAt: time.Now().UTC(), Changes: changes}
}

// Submit appends an edit once and reads the verdict back. If the response to the
// append is lost, it reads the log instead of repeating the append. It returns
// ErrUndecided if the edit was not found in time after an append that may have
// succeeded.
func (e Editor) Submit(ctx context.Context, edit catalogue.Edit) (catalogue.Verdict, error) {
	data, err := codec.Marshal(catalogue.Record{Edit: &edit})
	if err != nil {
		return catalogue.Verdict{}, err
	}
	appendErr := e.appendRecord(ctx, data)
	if errors.Is(appendErr, provider.ErrRateLimited) {
		return catalogue.Verdict{}, appendErr
	}
	ctx, cancel := expiry.WithTimeout(ctx, e.readBackTimeout())
	defer cancel()
	for {
		h, err := e.Load(ctx)
		if v, ok := h.verdictFor(edit.ID); err == nil && ok {
			return v, nil
		}
		timer := time.NewTimer(readBackInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return catalogue.Verdict{}, eris.Wrapf(ErrUndecided, "edit %s not found in the log in time (append error: %v, last read error: %v)", edit.ID, appendErr, err)
		}
	}
}

func (e Editor) readBackTimeout() time.Duration {
	if e.ReadBackTimeout > 0 {
		return e.ReadBackTimeout
	}
	return 10 * time.Second
}

func (e Editor) callTimeout() time.Duration {
	if e.CallTimeout > 0 {
		return e.CallTimeout
	}
	return 5 * time.Second
}

// verdictFor returns the first verdict on an edit; later ones are repeats.
func (h History) verdictFor(editID string) (catalogue.Verdict, bool) {
	for _, v := range h.Verdicts {
		if v.EditID == editID {
			return v, true
		}
	}
	return catalogue.Verdict{}, false
}
