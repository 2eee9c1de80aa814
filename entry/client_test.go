package entry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
)

var attempts atomic.Int64

// send sends a client request and returns the status, the body and the headers of the
// response. Status 0 stands for a broken response.
func (n *testInstance) send(method, path, key string) (int, string, http.Header) {
	return n.sendPrompt(method, path, key, "aa:60,bb:40")
}

// sendPrompt sends a client request with the given parts of a prompt.
func (n *testInstance) sendPrompt(method, path, key, prompt string) (int, string, http.Header) {
	return n.sendAttempt(fmt.Sprintf("attempt%d", attempts.Add(1)), method, path, key, prompt)
}

// sendAttempt sends a client request with an ID, or without one if it is empty.
func (n *testInstance) sendAttempt(id, method, path, key, prompt string) (int, string, http.Header) {
	req, err := http.NewRequest(method, "http://"+n.Settings.ClientAddress+path, strings.NewReader("helmet"))
	if err != nil {
		return 0, err.Error(), nil
	}
	req.Host = "shop.example"
	if id != "" {
		req.Header.Set("Attempt-Id", id)
	}
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("Deadline-Ms", "20000")
	req.Header.Set("Pieces", "1,2")
	req.Header.Set("Piece-Key", "k")
	req.Header.Set("Token-Usage", "100,50")
	req.Header.Set("Prompt-Prefix", prompt)
	req.Header.Set("Tenant", "forged")
	req.Header.Set("Kv-Hold", "forged")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer func() { _ = res.Body.Close() }()
	if res.Close {
		// net/http removes the header.
		res.Header.Set("Connection", "close")
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, string(body), res.Header
	}
	return res.StatusCode, string(body), res.Header
}
