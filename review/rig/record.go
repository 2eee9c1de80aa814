//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run, with the seconds since
// the start of the case. Concurrent calls are safe.
type record struct {
	began time.Time

	mu     sync.Mutex
	file   *os.File
	writer *bufio.Writer
	counts map[string]int
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, writer: bufio.NewWriter(file), counts: map[string]int{}}, nil
}

func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.writer, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// count counts an event for the summary.
func (r *record) count(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[what]++
}

func (r *record) summary() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var parts []string
	for what, n := range r.counts {
		parts = append(parts, fmt.Sprintf("%s %d", what, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

func (r *record) close() {
	r.write("end: %s", r.summary())
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
