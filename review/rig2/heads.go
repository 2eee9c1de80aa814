//go:build review2

package main

import (
	"bytes"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"lycheecrank.example/platform"
	"lycheecrank.example/standin/site"
)

const (
	// neededMachines and neededEnds are those of the rule Fault.
	neededMachines = 2
	neededEnds     = 3
	// crowdTime is how long a crowd stays connected.
	crowdTime = 8 * time.Second
)

// playHeads connects crowds of clients whose requests have a head of legal size with many
// headers and a chunked body that stops just short of its end.
func playHeads(folder string, isTroubled bool) bool {
	store := site.NewStore()
	defer store.Close()
	for n := range 2 {
		w := &worker{id: fmt.Sprintf("i-registry-%d", n+1), service: "recall-registry", slots: 6, store: store, work: 30 * time.Millisecond}
		w.start()
		defer w.crash()
	}
	store.PutJSON(platform.OperatorStream, platform.ConfigurationKey, map[string]any{
		"version":  1,
		"routes":   []map[string]any{{"name": "recall-order", "host": "orders.example", "pathPrefix": "/o/", "kind": "unsafe", "service": "recall-registry", "maxAttempts": 2, "timeoutMs": 1500, "targetLatencyMs": 150}},
		"services": []map[string]any{{"name": "recall-registry"}},
		"limits":   limits,
	})
	d := newDeployment(folder, store.Address(), 2, 284)
	d.start()
	defer d.stop()
	orders := startLoad(d, 14, func(n int) request {
		return request{method: "POST", host: "orders.example", path: "/o/x", id: fmt.Sprintf("o-%d", n), deadlineMs: 1500, body: "order"}
	})
	clients := envInt("CLIENTS", 1300)
	hasLargeHeads := envInt("LARGE", 1) == 1
	for wave := range neededEnds {
		for _, m := range d.machines {
			if !m.awaitReady(10 * time.Second) {
				fail("%s isn't ready", m.name)
			}
			time.Sleep(time.Second)
			if !isTroubled {
				time.Sleep(2 * time.Second)
				continue
			}
			runCrowd(m, clients, wave, hasLargeHeads)
		}
	}
	time.Sleep(2 * time.Second)
	orders.stop()
	record("orders by status, 0 for none: %v", orders.statuses())
	return countEnded(d) >= neededMachines
}

// countEnded returns the number of machines on which processes ended neededEnds times.
func countEnded(d *deployment) int {
	ended := 0
	for _, m := range d.machines {
		record("%s: processes ended %d times, at most %d MB of %d MB resident", m.name, m.endCount(), m.peakMb(), m.memoryMb)
		if m.endCount() >= neededEnds {
			ended++
		}
	}
	return ended
}

// headOf returns the head of a request, with as many small headers as maxHeaderBytes allows
// or none.
func headOf(id string, isLarge bool) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /o/x HTTP/1.1\r\nHost: orders.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 15000\r\nTransfer-Encoding: chunked\r\n", id)
	for n := 36 * 36; isLarge && b.Len() < limits["maxHeaderBytes"].(int)-20; n++ {
		fmt.Fprintf(&b, "%s:1\r\n", strconv.FormatInt(int64(n), 36))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// runCrowd connects clients that each send one request without its last chunk and stay.
func runCrowd(m *machine, clients, wave int, hasLargeHeads bool) {
	body := append(bytes.Repeat([]byte("8\r\n01234567\r\n"), 20), "8\r\n0123"...)
	record("%d clients connect to %s: heads of %d bytes, chunked bodies that stop short", clients, m.name, len(headOf("x", hasLargeHeads)))
	ends := m.endCount()
	var mu sync.Mutex
	var open []net.Conn
	var group sync.WaitGroup
	for n := range clients {
		group.Go(func() {
			c, err := net.DialTimeout("tcp", m.front, time.Second)
			if err != nil {
				return
			}
			_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
			_, _ = c.Write(append(headOf(fmt.Sprintf("c-%d-%s-%d", wave, m.name, n), hasLargeHeads), body...))
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
		})
	}
	group.Wait()
	for until := time.Now().Add(crowdTime); time.Now().Before(until) && m.endCount() == ends; {
		time.Sleep(50 * time.Millisecond)
	}
	for _, c := range open {
		_ = c.Close()
	}
}
