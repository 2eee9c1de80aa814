package site

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Worker is a stand-in for a worker of any kind.
type Worker struct {
	*httptest.Server
	// ID is what the worker calls itself, set before its first request.
	ID string
	// Events is the number of events of a stream; 0 makes it a plain service.
	Events int
	// Pause is the pause before each event or answer.
	Pause time.Duration
	// NeedsInputs refuses requests without results of stages.
	NeedsInputs bool
	// OnArrival is called when a request or a call has arrived, unless it is nil.
	OnArrival func()
	// OnRun is called when a request begins to run, unless it is nil.
	OnRun func()
	// OnCrash is called after each crash, unless it is nil.
	OnCrash func()

	mu        sync.Mutex
	runs      []Run
	crashes   int
	crashedAt time.Time
	refused   int
	calls     int
	// connections holds the open connections, which a crash closes.
	connections map[net.Conn]bool
	fault       Fault
	handles     map[string]bool
	made        int
}

// Run is a request that the worker has run.
type Run struct {
	Attempt string
	Path    string
	Body    string
	Header  http.Header
	// IsCut tells that the caller closed the connection before the end.
	IsCut bool
}

// Fault is what a worker does wrongly, until it is changed.
type Fault struct {
	// IsFull refuses all requests.
	IsFull bool
	// LosesAnswers closes the connection after a request has run.
	LosesAnswers bool
	// CutAfter breaks a stream off after that many events, if it is not 0.
	CutAfter int
	// HasForeignID answers with the ID of another request.
	HasForeignID bool
	// Freezes runs requests and doesn't answer until the caller leaves.
	Freezes bool
	// Status is answered in place of 200, if it is not 0.
	Status int
	// Raw is written in place of an answer, after which the connection ends, if it is not
	// empty. {id} stands for the ID of the attempt.
	Raw string
	// SaysLeaving marks all answers with Server-Leaving.
	SaysLeaving bool
	// RetryAfter is the Retry-After of refusals in seconds, 0 for none.
	RetryAfter float64
	// CrashPart crashes the worker when it begins to answer a request whose prompt has
	// this part, if it is not empty: all connections break off, and it starts again.
	CrashPart string
	// CrashMoment is when the worker crashes in the answer to such a request.
	CrashMoment CrashMoment
}

// CrashMoment is how much of an answer a worker has sent when it crashes.
type CrashMoment int

// The moments of crashes: the head, nothing, or the head and the first event.
const (
	AfterHead CrashMoment = iota
	BeforeHead
	AfterFirstEvent
)

// NewWorker starts a worker on loopback.
func NewWorker(id string) *Worker {
	w := &Worker{ID: id, handles: map[string]bool{}, connections: map[net.Conn]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /stage-run", w.stageRun)
	mux.HandleFunc("POST /stage-free", w.stageFree)
	mux.HandleFunc("GET /report", w.report)
	mux.HandleFunc("/", w.request)
	w.Server = httptest.NewUnstartedServer(mux)
	w.Config.ConnState = w.trackConnection
	w.Start()
	return w
}

func (w *Worker) trackConnection(conn net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch state {
	case http.StateNew:
		w.connections[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(w.connections, conn)
	}
}

// crash breaks all connections off.
func (w *Worker) crash() {
	w.mu.Lock()
	w.crashes++
	w.crashedAt = time.Now()
	for conn := range w.connections {
		_ = conn.Close()
	}
	w.mu.Unlock()
	if w.OnCrash != nil {
		w.OnCrash()
	}
}

// Calls returns how many calls of stages the worker has executed.
func (w *Worker) Calls() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls
}

// Refused returns how many requests and calls the worker has refused.
func (w *Worker) Refused() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refused
}

// refuse refuses a request or a call. The caller holds the lock.
func (w *Worker) refuse(rw http.ResponseWriter, r *http.Request) {
	w.refused++
	if id := r.Header.Get("Attempt-Id"); id != "" {
		rw.Header().Set("Attempt-Id", id)
	}
	if w.fault.RetryAfter > 0 {
		rw.Header().Set("Retry-After", strconv.FormatFloat(w.fault.RetryAfter, 'f', -1, 64))
	}
	rw.Header().Set("Not-Executed", "1")
	rw.WriteHeader(http.StatusServiceUnavailable)
}

// CrashedAt returns when the worker crashed last, the zero time if it never has.
func (w *Worker) CrashedAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashedAt
}

// Crashes returns how often the worker has crashed.
func (w *Worker) Crashes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashes
}

// Address returns the IP and port of the worker.
func (w *Worker) Address() string { return w.Listener.Addr().String() }

// SetFault changes what the worker does wrongly.
func (w *Worker) SetFault(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// Runs returns the requests that the worker has run.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.runs)
}

// Kept returns the results that the worker keeps.
func (w *Worker) Kept() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Sorted(maps.Keys(w.handles))
}

func (w *Worker) request(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if id := r.Header.Get("Expect-Instance"); id != "" && id != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.OnArrival != nil {
		w.OnArrival()
	}
	w.mu.Lock()
	fault := w.fault
	number := len(w.runs)
	if fault.SaysLeaving {
		rw.Header().Set("Server-Leaving", "1")
	}
	isRefused := fault.IsFull || w.NeedsInputs && r.Header.Get("Inputs") == ""
	if isRefused {
		w.refuse(rw, r)
	} else {
		w.runs = append(w.runs, Run{Attempt: r.Header.Get("Attempt-Id"), Path: r.RequestURI, Body: string(body), Header: r.Header.Clone()})
	}
	w.mu.Unlock()
	if isRefused {
		return
	}
	if w.OnRun != nil {
		w.OnRun()
	}
	if fault.LosesAnswers {
		panic(http.ErrAbortHandler)
	}
	if fault.Raw != "" {
		writeRaw(rw, strings.ReplaceAll(fault.Raw, "{id}", r.Header.Get("Attempt-Id")))
		return
	}
	if fault.Freezes {
		<-r.Context().Done()
		return
	}
	id := r.Header.Get("Attempt-Id")
	if fault.HasForeignID {
		id = "foreign"
	}
	rw.Header().Set("Attempt-Id", id)
	rw.Header().Set("Response-Seal", "seal-of-"+w.ID)
	if fault.Status != 0 {
		rw.WriteHeader(fault.Status)
	}
	if fault.CrashPart != "" && strings.Contains(r.Header.Get("Prompt-Prefix"), fault.CrashPart+":") {
		w.crashIn(rw, r, fault.CrashMoment)
		return
	}
	if w.Events == 0 {
		time.Sleep(w.Pause)
		fmt.Fprintf(rw, "answer of %s to %s", w.ID, r.Header.Get("Attempt-Id"))
		return
	}
	w.stream(rw, r, fault, number)
}

// crashIn crashes the worker in its answer to a request.
func (w *Worker) crashIn(rw http.ResponseWriter, r *http.Request, moment CrashMoment) {
	switch moment {
	case BeforeHead:
	case AfterHead:
		_ = http.NewResponseController(rw).Flush()
	case AfterFirstEvent:
		last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		if err != nil {
			last = 0
		}
		rw.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprintf(rw, "id: %d\ndata: %d\n\n", last+1, last+1)
		_ = http.NewResponseController(rw).Flush()
		// The event leaves before the connections end.
		time.Sleep(w.Pause)
	}
	w.crash()
	panic(http.ErrAbortHandler)
}

func (w *Worker) stream(rw http.ResponseWriter, r *http.Request, fault Fault, number int) {
	rw.Header().Set("Content-Type", "text/event-stream")
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0
	}
	sent := 0
	for n := last + 1; n <= w.Events; n++ {
		timer := time.NewTimer(w.Pause)
		select {
		case <-timer.C:
		case <-r.Context().Done():
			w.mu.Lock()
			w.runs[number].IsCut = true
			w.mu.Unlock()
			return
		}
		if fault.CutAfter > 0 && sent == fault.CutAfter {
			fmt.Fprintf(rw, "id: %d\nda", n)
			_ = http.NewResponseController(rw).Flush()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(rw, "id: %d\ndata: %d\n\n", n, n)
		_ = http.NewResponseController(rw).Flush()
		sent++
	}
}

// writeRaw writes bytes to the connection and closes it.
func writeRaw(rw http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, text)
	_ = conn.Close()
}

// stageItems is a call of a stage, or its answer.
type stageItems struct {
	Items []map[string]any `json:"items"`
}

func (w *Worker) stageRun(rw http.ResponseWriter, r *http.Request) {
	var call stageItems
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if w.OnArrival != nil {
		w.OnArrival()
	}
	time.Sleep(w.Pause)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fault.SaysLeaving {
		rw.Header().Set("Server-Leaving", "1")
	}
	if w.fault.IsFull {
		w.refuse(rw, r)
		return
	}
	w.calls++
	if w.fault.Status != 0 {
		rw.WriteHeader(w.fault.Status)
		return
	}
	var answer stageItems
	for range call.Items {
		w.made++
		handle := fmt.Sprintf("%s/%d", w.Address(), w.made)
		w.handles[handle] = true
		answer.Items = append(answer.Items, map[string]any{"handle": handle})
	}
	writeJSON(rw, answer)
}

// roomMb is the room for results of a worker of stages, in megabytes; each result
// takes a thousandth of it.
const roomMb = 1.0

// report tells how much room for results is left.
func (w *Worker) report(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	writeJSON(rw, map[string]any{"queued": 0, "busy": 0, "freeMb": max(0, roomMb-roomMb/1000*float64(len(w.handles)))})
}

func (w *Worker) stageFree(_ http.ResponseWriter, r *http.Request) {
	var freed struct {
		Handles []string `json:"handles"`
	}
	if err := json.NewDecoder(r.Body).Decode(&freed); err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range freed.Handles {
		delete(w.handles, h)
	}
}
