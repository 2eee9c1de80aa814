//go:build review3

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: topics with one partition, as PROTOCOL.md
// and the news page describe them. It can be away and come back from an older copy.
type store struct {
	listener net.Listener

	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	isDown  bool
	era     int
}

type topic struct {
	records [][]byte
	// newest holds the newest record of each key, without dropped keys.
	newest map[string]entry
	epochs map[string]uint64
}

type entry struct {
	value  []byte
	offset int
}

func (t *topic) clone() *topic {
	return &topic{records: slices.Clone(t.records), newest: maps.Clone(t.newest), epochs: maps.Clone(t.epochs)}
}

func startStore() *store {
	s := &store{topics: map[string]*topic{}, changed: make(chan struct{}), era: 1}
	var err error
	if s.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		cannotRun("store: %v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.handleAppend)
	mux.HandleFunc("GET /log-read", s.handleRead)
	mux.HandleFunc("GET /log-newest", s.handleNewest)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		isDown, era := s.isDown, s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.Itoa(era))
		if isDown {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(s.listener) }()
	return s
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]entry{}, epochs: map[string]uint64{}}
		s.topics[name] = t
	}
	return t
}

// add appends one record. The caller holds the lock.
func (s *store) add(t *topic, record []byte) {
	if len(record) > 0 && len(record) >= 1+int(record[0]) {
		key, value := string(record[1:1+int(record[0])]), record[1+int(record[0]):]
		if len(value) == 0 {
			delete(t.newest, key)
		} else {
			t.newest[key] = entry{value, len(t.records)}
		}
	}
	t.records = append(t.records, record)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a record as an operator or a worker does, and reports whether the store has
// accepted it. An empty value drops the key.
func (s *store) put(name, key string, value []byte) (offset int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return 0, false
	}
	t := s.topic(name)
	s.add(t, append(append([]byte{byte(len(key))}, key...), value...))
	return len(t.records) - 1, true
}

// end returns the offset after the last record of a topic.
func (s *store) end(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.topic(name).records)
}

// copyAll returns a copy of all topics.
func (s *store) copyAll() map[string]*topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := map[string]*topic{}
	for name, t := range s.topics {
		c[name] = t.clone()
	}
	return c
}

// setDown makes the store answer all calls with 503, or serve them again.
func (s *store) setDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore brings the store back from a copy, in the next era.
func (s *store) restore(c map[string]*topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics, s.isDown = c, false
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	query := r.URL.Query()
	name := query.Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	offset := len(t.records)
	if at := query.Get("at"); at != "" && at != strconv.Itoa(offset) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]int{"end": offset})
		return
	}
	if producer := query.Get("producer"); producer != "" {
		epoch, _ := strconv.ParseUint(query.Get("epoch"), 10, 64)
		if epoch < t.epochs[producer] {
			w.WriteHeader(http.StatusConflict)
			_ = json.NewEncoder(w).Encode(map[string]string{"reason": "fenced"})
			return
		}
		t.epochs[producer] = epoch
	}
	for len(data) >= 4 {
		size := int(binary.BigEndian.Uint32(data))
		s.add(t, slices.Clone(data[4:4+size]))
		data = data[4+size:]
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": offset, "end": len(t.records)})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	limit := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer limit.Stop()
	for isOver := wait == 0; ; {
		s.mu.Lock()
		t, changed, isDown := s.topic(query.Get("topic")), s.changed, s.isDown
		end := len(t.records)
		var records [][]byte
		if from < end {
			records = slices.Clone(t.records[from:])
		}
		s.mu.Unlock()
		switch {
		case isDown:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case from > end:
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(w).Encode(map[string]int{"first": 0})
			return
		case len(records) > 0 || isOver:
			data := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, uint64(end)), 0)
			for _, record := range records {
				data = append(binary.BigEndian.AppendUint32(data, uint32(len(record))), record...)
			}
			_, _ = w.Write(data)
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, after := s.topic(r.URL.Query().Get("topic")), r.URL.Query().Get("after")
	items, more := []map[string]any{}, false
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		if key <= after {
			continue
		}
		if len(items) == 500 {
			more = true
			break
		}
		e := t.newest[key]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(e.value), "offset": e.offset})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": more, "end": len(t.records)})
}
