//go:build review3

package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdSize is the number of clients of a crowd, each with one stream.
	crowdSize = 1200
	// streamEvents and eventBytes give the size of a long answer.
	streamEvents = 24
	eventBytes   = 60_000
	eventPause   = 150 * time.Millisecond
	// A slow client reads readBytes in each readPause, for stayTime at most.
	readBytes = 2_000
	readPause = 250 * time.Millisecond
	stayTime  = 7 * time.Second
	// memoryLimit is memoryMb of the sheet, taken as mebibytes.
	memoryLimit = memoryMb << 20
	waves       = 4
)

// longWorker answers streams whose events are large, at the pace of its reader.
func longWorker(s *store, id, zone string) {
	w := &worker{id: id, service: "model", zone: zone, store: s, log: &runLog{}, slots: 64}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("worker: %v", err)
	}
	w.address, w.state, w.born = listener.Addr().String(), "ready", time.Now().UnixMilli()
	data := strings.Repeat("x", eventBytes)
	server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		header := rw.Header()
		header.Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != id {
			header.Set("Not-Executed", "1")
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		header.Set("Response-Seal", "seal."+id)
		header.Set("Content-Type", "text/event-stream")
		for n := 1; n <= streamEvents && r.Context().Err() == nil; n++ {
			_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, data)
			_ = http.NewResponseController(rw).Flush()
			time.Sleep(eventPause)
		}
	})}
	go func() { _ = server.Serve(listener) }()
	w.beat()
	go func() {
		for {
			time.Sleep(beatTime)
			w.beat()
		}
	}()
}

// resident returns the resident memory of a process in bytes, 0 if it has ended.
func resident(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// keeper stands for the platform: it ends a process that exceeds its memory, and starts it
// again.
type keeper struct {
	store  *store
	all    []*instance
	mu     sync.Mutex
	isOver bool
	// ends counts the ends of each instance, most is its largest memory.
	ends map[string]int
	most map[string]int64
}

func (k *keeper) watch(i *instance) {
	for {
		time.Sleep(20 * time.Millisecond)
		used := resident(i.command.Process.Pid)
		k.mu.Lock()
		k.most[i.name] = max(k.most[i.name], used)
		isOver := k.isOver
		k.mu.Unlock()
		if isOver {
			return
		}
		if used <= memoryLimit && !i.hasExited() {
			continue
		}
		note("%s holds %d MiB, %d are allowed: the platform ends its process and starts it again", i.name, used>>20, memoryMb)
		_ = i.command.Process.Kill()
		_ = i.command.Wait()
		k.mu.Lock()
		k.ends[i.name]++
		k.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		i.start()
	}
}

// crowd sends the streams of a crowd to an instance and waits for their ends.
func crowd(i *instance, number *atomic.Int64) (whole, cut int64) {
	var group sync.WaitGroup
	var wholes, cuts atomic.Int64
	for range crowdSize {
		group.Add(1)
		go func() {
			defer group.Done()
			if readStream(i, number.Add(1)) == nil {
				wholes.Add(1)
			} else {
				cuts.Add(1)
			}
		}()
	}
	group.Wait()
	return wholes.Load(), cuts.Load()
}

// lastChunk ends a whole answer.
const lastChunk = "0\r\n\r\n"

var errLeft = errors.New("the client left")

func readStream(i *instance, number int64) error {
	conn, err := net.DialTimeout("tcp", i.front, 2*time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(readBytes)
	}
	_, err = fmt.Fprintf(conn, "POST /report/a HTTP/1.1\r\nHost: recall.example\r\nAttempt-Id: %016x\r\nDeadline-Ms: 20000\r\nAuthorization: Token %s\r\n"+
		"Model: m\r\nToken-Usage: 700,40\r\nPrompt-Prefix: a1:300,%x:50\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", 0x70000000+number, keptKey, 0xb0000+number)
	if err != nil {
		return err
	}
	until := time.Now().Add(stayTime)
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	buffer := make([]byte, readBytes)
	end := ""
	for {
		n, err := conn.Read(buffer)
		end += string(buffer[max(0, n-len(lastChunk)):n])
		end = end[max(0, len(end)-len(lastChunk)):]
		switch {
		case errors.Is(err, io.EOF) && end == lastChunk:
			return nil
		case err != nil:
			return err
		case time.Now().After(until):
			return errLeft
		}
		time.Sleep(readPause)
	}
}

// slowStreams has many clients read long streams slowly, at one machine and then the other.
func slowStreams() bool {
	s := startStore()
	all := newInstances(folder, "helsinki-a", "helsinki-b")
	log := &runLog{}
	for n := range 20 {
		longWorker(s, fmt.Sprintf("i-model-%d", n), all[n%2].zone)
	}
	for n := range 2 {
		w := &worker{id: fmt.Sprintf("i-order-%d", n), service: "order", zone: all[n].zone, store: s, log: log, work: 30 * time.Millisecond, slots: 6}
		w.start()
	}
	model := engineService("model")
	model["coldStartS"], model["coldPerS"] = 0.0, 0.0
	report := streamRoute("report", "/report/", 1, false)
	report["timeoutMs"], report["targetLatencyMs"] = 20000, 1700
	configuration{
		version: 3, services: []object{plainService("order"), model}, keys: []string{keptKey},
		routes: []object{routeOf("order", "/order/", "unsafe", "order", object{"maxAttempts": 1}), report},
	}.write(s)
	startInstances(s, all)
	awaitReady(all, 15*time.Second)
	note("all instances are ready")
	k := &keeper{store: s, all: all, ends: map[string]int{}, most: map[string]int64{}}
	for _, i := range all {
		go k.watch(i)
	}
	start := time.Now()
	c := newClients()
	c.every(70*time.Millisecond, start.Add(100*time.Second), all, http.MethodPost, "/order/a", 1500*time.Millisecond, func(int) []string {
		return []string{"Authorization", "Token " + keptKey}
	})
	waitUntil(start, 3*time.Second)
	var number atomic.Int64
	for wave := range 2 * waves {
		if !hasTrouble {
			waitUntil(start, 20*time.Second)
			break
		}
		i := all[wave%2]
		awaitReady(all, 10*time.Second)
		whole, cut := crowd(i, &number)
		note("%d clients at %s: %d had their whole answer, %d left or were cut off", crowdSize, i.name, whole, cut)
		k.mu.Lock()
		isDone := k.ends[all[0].name] >= 3 && k.ends[all[1].name] >= 3
		k.mu.Unlock()
		if isDone || time.Since(start) > 85*time.Second {
			break
		}
		time.Sleep(time.Second)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.isOver = true
	served, failed, early, earlyServed := 0, 0, 0, 0
	for _, a := range c.all() {
		isServed := a.status == http.StatusOK && a.err == nil
		if a.sentAt.Before(start.Add(3 * time.Second)) {
			early++
			if isServed {
				earlyServed++
			}
		}
		switch {
		case isServed:
			served++
		case a.status != http.StatusServiceUnavailable:
			failed++
			note("order %s at %s, sent %.3f, ended %.3f: status %d, error %v", a.id, a.instance, since(a.sentAt), since(a.endedAt), a.status, a.err)
		}
	}
	note("in calm %d of %d orders were served", earlyServed, early)
	if earlyServed*10 < early*9 {
		cannotRun("the site doesn't serve in calm")
	}
	note("%d orders were served, %d had neither an answer nor a refusal", served, failed)
	for _, i := range all {
		note("%s: %d ends, at most %d MiB", i.name, k.ends[i.name], k.most[i.name]>>20)
	}
	return k.ends[all[0].name] >= 3 && k.ends[all[1].name] >= 3
}
