package peer

import (
	"bytes"
	"testing"
	"time"
)

// FuzzFrames guards against bytes from the network that crash an instance or that
// change their meaning when decoded and encoded again.
func FuzzFrames(f *testing.F) {
	var all bytes.Buffer
	for _, m := range sampleMessages() {
		data, err := m.encode()
		if err != nil {
			f.Fatal(err)
		}
		var one bytes.Buffer
		if err := (&FrameWriter{Writer: &one}).Write(data); err != nil {
			f.Fatal(err)
		}
		f.Add(one.Bytes())
		f.Add(one.Bytes()[:one.Len()-1])
		all.Write(one.Bytes())
	}
	f.Add(all.Bytes())
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add(frameOfMap("digest", []byte{0xdd, 0xff, 0xff, 0xff, 0xff}))
	f.Fuzz(func(t *testing.T, input []byte) {
		r := FrameReader{Reader: bytes.NewReader(input)}
		for {
			data, err := r.Next()
			if err != nil {
				return
			}
			if len(data) == 0 || len(data) > len(input) {
				t.Fatalf("frame of %d bytes from input of %d bytes", len(data), len(input))
			}
			m, err := decodeMessage(data)
			if err != nil {
				if _, ok := frameErrorCounter(err); !ok {
					t.Fatalf("error without a counter: %v", err)
				}
				continue
			}
			checkStable(t, m)
		}
	})
}

// checkStable encodes and decodes a message again and converts its body.
func checkStable(t *testing.T, m message) {
	t.Helper()
	first, err := m.encode()
	if err != nil {
		t.Fatal(err)
	}
	back, err := decodeMessage(first)
	if err != nil {
		t.Fatalf("%v while decoding %x", err, first)
	}
	second, err := back.encode()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(first, second) {
		t.Fatalf("encoding changed from %x to %x", first, second)
	}
	switch {
	case m.Execute != nil:
		_ = m.Execute.step(time.Now())
	case m.End != nil:
		_ = m.End.result()
	case m.Failure != nil:
		_ = m.Failure.failure()
	}
}
