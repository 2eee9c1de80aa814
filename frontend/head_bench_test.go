package frontend

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
)

// headOf returns the head of a request with a number of headers whose values have a size.
func headOf(headers, valueBytes int) []byte {
	var b bytes.Buffer
	b.WriteString("POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n")
	for n := range headers {
		fmt.Fprintf(&b, "%s:%s\r\n", strconv.FormatInt(int64(n), 36), strings.Repeat("v", valueBytes))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// headShapes are heads of about the largest size, and an ordinary one.
var headShapes = []struct {
	name string
	head []byte
}{
	{"shortest headers", headOf(2700, 0)},
	{"short headers", headOf(1000, 11)},
	{"usual headers", headOf(300, 50)},
	{"long headers", headOf(16, 1000)},
	{"one header", headOf(1, 16000)},
	{"ordinary", headOf(15, 25)},
}

// Shows the memory of a request whose head is parsed and copied for a backend server, by the
// shape of the head, beside what is counted for it.
func BenchmarkHeadMemory(b *testing.B) {
	for _, shape := range headShapes {
		b.Run(shape.name, func(b *testing.B) {
			const requests = 200
			kept := make([]*http.Request, requests)
			copies := make([]http.Header, requests)
			for b.Loop() {
				clear(kept)
				clear(copies)
				before := heapBytes()
				for n := range kept {
					r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(shape.head)))
					if err != nil {
						b.Fatal(err)
					}
					kept[n] = r
				}
				parsed := heapBytes()
				for n, r := range kept {
					copies[n] = r.Header.Clone()
				}
				b.ReportMetric(float64(parsed-before)/requests, "parsed-B/op")
				b.ReportMetric(float64(heapBytes()-parsed)/requests, "copied-B/op")
				runtime.KeepAlive(kept)
				runtime.KeepAlive(copies)
			}
			b.ReportMetric(float64(len(shape.head)), "head-B/op")
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
