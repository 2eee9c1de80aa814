package catalogue_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"lycheecrank.example/catalogue"
)

// Guards against an invalid file that is accepted, against faults that are
// reported one at a time, and against wrong line numbers. The result of each
// testdata/NAME.yaml is in testdata/NAME.golden.
func TestReadFile(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatal("no test data", err)
	}
	for _, path := range files {
		name := strings.TrimSuffix(filepath.Base(path), ".yaml")
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile(path)
			is.NoErr(err)
			f, err := catalogue.ReadFile(data, filepath.Base(path))
			outcome := f.String()
			if name != "valid" {
				is.True(errors.Is(err, catalogue.ErrFile))
				is.Equal(len(f.Entries), 0) // no part of an invalid file is used
				outcome = err.Error() + "\n"
			}
			goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, name, []byte(outcome))
		})
	}
}

// Guards against a file written by String that ReadFile refuses or reads with
// different content.
func TestFileRoundTrip(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("testdata/valid.yaml")
	is.NoErr(err)
	f, err := catalogue.ReadFile(data, "valid.yaml")
	is.NoErr(err)
	again, err := catalogue.ReadFile([]byte(f.String()), "again.yaml")
	is.NoErr(err)
	is.Equal(again.Entries, f.Entries)
	is.Equal(again.Delete, f.Delete)
	is.Equal(again.String(), f.String())
}

// Guards against a file that exhausts the stack or occupies the YAML parser for
// minutes: the parser is recursive, and quadratic for some inputs.
func TestHostileFilesAreBounded(t *testing.T) {
	const size = 256 << 10
	for _, unit := range []string{
		"[", "{", "- ", "a: ", "a:\n", "-\n", "- - \n", "\"", "\"\"\n", "|\n", "? ", "&a ", "%", "---\n", "--- a\n", ": ",
		"- a:\n", "-\n  -\n", "- {a: }\n", "- {a, b}\n", "- {a: b, c, d}\n", "- a: #\n", "- [,]\n", "- |\n", "{a\n", "\x00",
	} {
		_, err := catalogue.ReadFile([]byte(strings.Repeat(unit, size/len(unit))), "f")
		if !errors.Is(err, catalogue.ErrFile) {
			t.Errorf("%q: %v", unit, err)
		}
	}
	_, err := catalogue.ReadFile(make([]byte, catalogue.MaxFileBytes+1), "f")
	is.New(t).Equal(err.Error(), "f: file: has 1048577 bytes, the limit is 1048576")
}

// Guards against an error text whose length is not bounded.
func TestFaultsAreBounded(t *testing.T) {
	is := is.New(t)
	_, err := catalogue.ReadFile([]byte("entries:\n"+strings.Repeat("  - {x: 1}\n", 5000)), "f")
	is.Equal(strings.Count(err.Error(), "\n"), 1000)
	is.True(strings.HasSuffix(err.Error(), "further faults not shown"))
}

// FuzzReadFile guards against a panic of the reader, and against files whose
// content changes when they are written and read again.
func FuzzReadFile(f *testing.F) {
	files, err := filepath.Glob("testdata/*.yaml")
	if err != nil {
		f.Fatal(err)
	}
	for _, path := range files {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		file, err := catalogue.ReadFile(data, "f")
		if err != nil {
			if !errors.Is(err, catalogue.ErrFile) {
				t.Fatal(err)
			}
			return
		}
		_ = file.Check(catalogue.Catalogue{}, "f")
		again, err := catalogue.ReadFile([]byte(file.String()), "again")
		if err != nil {
			t.Fatal(err, file.String())
		}
		if fmt.Sprint(again.Entries, again.Delete) != fmt.Sprint(file.Entries, file.Delete) {
			t.Fatalf("%v\n%v", again.Entries, file.Entries)
		}
	})
}

// Guards against faults of references between entries that are reported without
// the line of the field, or only after the edit was appended.
func TestFileCheck(t *testing.T) {
	is := is.New(t)
	f, err := catalogue.ReadFile([]byte(`entries:
  - {kind: class, name: recall, owner: agency, class: recall}
  - {kind: pool, name: registry, owner: agency, class: recall, stageKind: call}
  - kind: pipeline
    name: p
    owner: lab
    class: gone
    stages:
      - {name: a, kind: encode, pool: missing}
      - name: b
        kind: encode
        pool: registry
      - {name: c, kind: call, pool: registry}
delete:
  - {kind: pool, name: old}
`), "f.yaml")
	is.NoErr(err)
	known := apply(t, catalogue.Catalogue{},
		entry(catalogue.ClassKind, "recall"), pool("old"), service("lookup", "old"))
	err = f.Check(known, "f.yaml")
	is.True(errors.Is(err, catalogue.ErrFile))
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "check", []byte(err.Error()+"\n"))
}

// Guards against changes of entries that already have the same content in the
// catalogue, and against changes based on another revision than that in the file.
func TestChanges(t *testing.T) {
	is := is.New(t)
	c := apply(t, catalogue.Catalogue{}, entry(catalogue.ClassKind, "recall"), pool("a"), pool("b"), pool("c"))
	f, err := catalogue.ReadFile([]byte(`entries:
  - {kind: pool, name: a, owner: agency, class: recall, stageKind: call, limits: {}}
  - {kind: pool, name: b, owner: agency, class: recall, stageKind: call, limits: {maxQueued: 5}}
  - {kind: pool, name: c, owner: agency, class: recall, stageKind: encode, revision: 99}
  - {kind: pool, name: d, owner: agency, class: recall, stageKind: call}
delete:
  - {kind: class, name: recall}
  - {kind: class, name: unknown}
`), "f")
	is.NoErr(err)
	var got []string
	for _, ch := range f.Changes(c) {
		got = append(got, fmt.Sprint(ch.ID, " ", ch.BaseRevision, " ", ch.Entry != nil))
	}
	is.Equal(got, []string{"pool/b 1 true", "pool/c 99 true", "pool/d 0 true", "class/recall 1 false"})
}
