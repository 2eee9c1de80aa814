// Package site has stand-ins for what surrounds an instance on the users'
// platform: the store, and workers of each kind. They speak the published
// protocol over HTTP, have switches for faults, and keep what a test asks about.
package site

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Store is a stand-in for the platform's store, with keyed streams of one
// partition.
type Store struct {
	*httptest.Server

	mu      sync.Mutex
	streams map[string]*stream
	changed chan struct{}
	isDown  bool
	// era is named in all responses, unless it is 0.
	era   int
	calls map[string]int
	// holds is set for the topics whose appends are held, in the order of arrival.
	holds map[string]bool
	held  []heldAppend
}

// heldAppend is an append that gets no response and is executed later.
type heldAppend struct {
	query url.Values
	data  []byte
}

type stream struct {
	records [][]byte
	// first is the offset of the first retained record.
	first  uint64
	newest map[string]newest
	// epochs holds the highest epoch of each producer.
	epochs map[string]int
}

func (t *stream) clone() *stream {
	return &stream{records: slices.Clone(t.records), first: t.first, newest: maps.Clone(t.newest), epochs: maps.Clone(t.epochs)}
}

type newest struct {
	value  []byte
	offset uint64
}

// NewStore starts a store on loopback.
func NewStore() *Store {
	s := &Store{era: 1, streams: map[string]*stream{}, changed: make(chan struct{}), calls: map[string]int{}, holds: map[string]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.append)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.newest)
	s.Server = httptest.NewServer(s.guard(mux))
	return s
}

// Address returns the IP and port of the store.
func (s *Store) Address() string { return s.Listener.Addr().String() }

// SetDown makes the store refuse all calls, or take them again.
func (s *Store) SetDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
	s.wake()
}

// Copy is a copy of all streams of a store.
type Copy struct{ streams map[string]*stream }

// Copy returns a copy of the store as it is.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{map[string]*stream{}}
	for topic, t := range s.streams {
		c.streams[topic] = t.clone()
	}
	return c
}

// Restore brings the store back from a copy, in the next era: what was written since the copy
// was made is lost.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams = map[string]*stream{}
	for topic, t := range c.streams {
		s.streams[topic] = t.clone()
	}
	s.isDown = false
	s.era++
	s.wake()
}

// SetEra sets the era that the store names in its responses; 0 for none.
func (s *Store) SetEra(era int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// End returns the offset after the last record of a topic.
func (s *Store) End(topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.stream(topic).records)
}

// Calls returns the number of calls by path.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// Put writes a value of a key, as operators and workers do. No value drops the
// key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, append(append([]byte{byte(len(key))}, key...), value...))
}

// PutJSON writes a value as JSON.
func (s *Store) PutJSON(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.Put(topic, key, data)
}

// Forget drops the history of a topic; the newest record of each key stays.
func (s *Store) Forget(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.stream(topic)
	t.first = uint64(len(t.records))
}

// Newest returns the value of a key.
func (s *Store) Newest(topic, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, ok := s.stream(topic).newest[key]
	return n.value, ok
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) stream(topic string) *stream {
	t := s.streams[topic]
	if t == nil {
		t = &stream{newest: map[string]newest{}, epochs: map[string]int{}}
		s.streams[topic] = t
	}
	return t
}

func (s *Store) add(topic string, record []byte) {
	t := s.stream(topic)
	key := string(record[1 : 1+int(record[0])])
	value := record[1+len(key):]
	offset := uint64(len(t.records))
	t.records = append(t.records, record)
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = newest{value, offset}
	}
	s.wake()
}

// guard counts calls, names the era of the store, and refuses calls while it is down.
func (s *Store) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[r.URL.Path]++
		isDown, era := s.isDown, s.era
		s.mu.Unlock()
		if era > 0 {
			w.Header().Set("Store-Era", strconv.Itoa(era))
		}
		if isDown {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if topic := r.URL.Query().Get("topic"); s.holds[topic] {
		s.held = append(s.held, heldAppend{r.URL.Query(), data})
		s.mu.Unlock()
		<-r.Context().Done()
		s.mu.Lock()
		return
	}
	status, offset, end := s.execute(r.URL.Query(), data)
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	writeJSON(w, map[string]int{"offset": offset, "end": end})
}

// execute executes an append if its conditions hold. The caller holds the lock.
func (s *Store) execute(query url.Values, data []byte) (status, offset, end int) {
	topic := query.Get("topic")
	t := s.stream(topic)
	offset = len(t.records)
	if at := query.Get("at"); at != "" && at != strconv.Itoa(offset) {
		return http.StatusPreconditionFailed, 0, 0
	}
	if producer := query.Get("producer"); producer != "" {
		epoch, err := strconv.Atoi(query.Get("epoch"))
		if err != nil {
			return http.StatusBadRequest, 0, 0
		}
		if epoch < t.epochs[producer] {
			return http.StatusConflict, 0, 0
		}
		t.epochs[producer] = epoch
	}
	for len(data) >= 4 {
		size := binary.BigEndian.Uint32(data)
		s.add(topic, slices.Clone(data[4:4+size]))
		data = data[4+size:]
	}
	return http.StatusOK, offset, len(t.records)
}

// SetHeld makes the store execute the appends to a topic late and without a response,
// or at once.
func (s *Store) SetHeld(topic string, isHeld bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holds[topic] = isHeld
}

// ExecuteHeld executes the appends that are held, whose conditions may no longer hold, and
// returns their number.
func (s *Store) ExecuteHeld() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := len(s.held)
	for _, h := range s.held {
		s.execute(h.query, h.data)
	}
	s.held = nil
	return count
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(query.Get("waitMs"))
	if err != nil {
		wait = 0
	}
	limit := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer limit.Stop()
	for {
		s.mu.Lock()
		t, changed := s.stream(query.Get("topic")), s.changed
		first, end := t.first, uint64(len(t.records))
		var records [][]byte
		if from >= first && from < end {
			records = slices.Clone(t.records[from:])
		}
		s.mu.Unlock()
		if from < first || from > end {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(records) > 0 || wait == 0 {
			writeRecords(w, end, first, records)
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w io.Writer, end, first uint64, records [][]byte) {
	data := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, end), first)
	for _, r := range records {
		data = append(binary.BigEndian.AppendUint32(data, uint32(len(r))), r...)
	}
	_, _ = w.Write(data)
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.stream(r.URL.Query().Get("topic"))
	items := []map[string]any{}
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		n := t.newest[key]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(n.value), "offset": n.offset})
	}
	writeJSON(w, map[string]any{"items": items, "more": false, "end": len(t.records)})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
