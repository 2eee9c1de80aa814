package editor_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"lycheecrank.example/catalogue"
	"lycheecrank.example/codec"
	"lycheecrank.example/editor"
	"lycheecrank.example/provider"
	"lycheecrank.example/standin"
	"lycheecrank.example/standin/fault"
	"lycheecrank.example/standin/store"
)

// handlerTransport calls a handler without a network, so that the handler uses
// the clock of a synctest bubble.
type handlerTransport struct{ handler http.Handler }

// RoundTrip runs the handler until it returns or the request's context ends. A
// handler that panics to abort the connection yields io.ErrUnexpectedEOF.
func (t handlerTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	done := make(chan *http.Response, 1)
	var running sync.WaitGroup
	running.Go(func() {
		defer func() {
			if recover() != nil {
				close(done)
			}
		}()
		w := httptest.NewRecorder()
		t.handler.ServeHTTP(w, req)
		done <- w.Result()
	})
	select {
	case res, ok := <-done:
		if !ok {
			return nil, io.ErrUnexpectedEOF
		}
		return res, nil
	case <-req.Context().Done():
		return nil, req.Context().Err()
	}
}

func newEditor(o store.Options) (*standin.Standin, editor.Editor) {
	s := standin.NewPlatform(standin.PlatformOptions{Store: o})
	client := &http.Client{Transport: handlerTransport{s.Handler}}
	return s, editor.Editor{Log: provider.NewLog(client, "http://platform"), CallTimeout: time.Second, ReadBackTimeout: 5 * time.Second}
}

func classEdit(name string, basedOn uint64) catalogue.Edit {
	e := catalogue.Entry{Kind: catalogue.ClassKind, Name: name, Owner: "agency", Class: name}
	return editor.NewEdit("aino", []catalogue.Change{{ID: e.ID(), BaseRevision: basedOn, Entry: &e}})
}

// Guards against an edit that is appended twice, reported as accepted when it is
// not in the log, or reported as failed when it is, under faults of the platform.
func TestSubmitUnderFaults(t *testing.T) {
	for _, x := range []struct {
		name      string
		fault     fault.Fault
		err       error
		wantEdits int
	}{
		{"no fault", fault.Fault{}, nil, 1},
		{"lost response", fault.Fault{Method: "Append", LoseAnswer: true}, nil, 1},
		{"lost response, first reads fail", fault.Fault{Remaining: 4, LoseAnswer: true}, nil, 1},
		{"append fails", fault.Fault{Method: "Append", Fail: true}, editor.ErrUndecided, 0},
		{"append times out", fault.Fault{Method: "Append", Delay: 2 * time.Second}, editor.ErrUndecided, 0},
		{"slow calls", fault.Fault{Delay: 900 * time.Millisecond}, nil, 1},
		{"frozen read", fault.Fault{Method: "Read", Freeze: true}, editor.ErrUndecided, 1},
		{"log unavailable", fault.Fault{Down: true}, editor.ErrUndecided, 0},
		{"records reordered and repeated", fault.Fault{Method: "Read", Reorder: true, Repeat: true}, nil, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s, e := newEditor(store.Options{})
				s.SetFault(x.fault)
				v, err := e.Submit(t.Context(), classEdit("recall", 0))
				is.True(errors.Is(err, x.err))
				if x.err == nil {
					is.Equal(v.Decision, catalogue.Accepted)
				}
				s.SetFault(fault.Fault{})
				h, err := e.Load(t.Context())
				is.NoErr(err)
				is.Equal(len(h.Edits), x.wantEdits)
			})
		})
	}
}

// Guards against a rate-limited append that is reported as an undecided edit, and
// against an outage that is read as an empty catalogue.
func TestRateLimitAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, e := newEditor(store.Options{AppendsPerSecond: 0.1})
		_, err := e.Submit(t.Context(), classEdit("a", 0))
		is.NoErr(err)
		_, err = e.Submit(t.Context(), classEdit("b", 0))
		is.True(errors.Is(err, provider.ErrRateLimited))
		s.SetFault(fault.Fault{Down: true})
		_, err = e.Load(t.Context())
		is.True(errors.Is(err, provider.ErrUnavailable))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = e.Submit(ctx, classEdit("c", 0))
		is.True(errors.Is(err, editor.ErrUndecided))
	})
}

// Guards against two concurrent edits of an entry that are both accepted, and
// against a refused edit whose author gets no conflict.
func TestRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, e := newEditor(store.Options{})
		decisions := make(chan catalogue.Decision, 2)
		var group errgroup.Group
		for range 2 {
			group.Go(func() error {
				v, err := e.Submit(t.Context(), classEdit("recall", 0))
				decisions <- v.Decision
				return err
			})
		}
		is.NoErr(group.Wait())
		got := map[catalogue.Decision]int{<-decisions: 1}
		got[<-decisions]++
		is.Equal(got, map[catalogue.Decision]int{catalogue.Accepted: 1, catalogue.Conflict: 1})
	})
}

// Guards against a wrong catalogue for a past revision, and against a catalogue
// for a revision whose records have expired.
func TestHistoryAt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, e := newEditor(store.Options{Retain: 4})
		submit := func(edit catalogue.Edit) {
			_, err := e.Submit(t.Context(), edit)
			is.NoErr(err)
		}
		submit(classEdit("a", 0))
		submit(classEdit("a", 0)) // a conflict adds no revision
		submit(classEdit("b", 0))
		h, err := e.Load(t.Context())
		is.NoErr(err)
		names := func(revision uint64) string {
			c, err := h.AtRevision(revision)
			if err != nil {
				is.True(errors.Is(err, editor.ErrRevisionUnknown))
				return "unknown"
			}
			all := ""
			for _, x := range c.Entries() {
				all += x.Name
			}
			return all
		}
		is.Equal([]string{names(0), names(1), names(2), names(3), names(4)}, []string{"unknown", "a", "unknown", "ab", "unknown"})

		s := h.Catalogue.Snapshot()
		data, err := codec.Marshal(catalogue.Record{Snapshot: &s})
		is.NoErr(err)
		_, err = e.Log.Append(t.Context(), catalogue.StreamName, data, []byte("not a record"))
		is.NoErr(err)
		submit(classEdit("c", 0))
		h, err = e.Load(t.Context()) // records 3 to 6 are retained
		is.NoErr(err)
		is.Equal([]string{names(1), names(3), names(6)}, []string{"unknown", "ab", "abc"})
		submit(classEdit("d", 0))
		_, err = e.Log.Append(t.Context(), catalogue.StreamName, []byte("not a record"))
		is.NoErr(err)
		_, err = e.Load(t.Context()) // the snapshot has expired
		is.True(errors.Is(err, catalogue.ErrGap))
	})
}
