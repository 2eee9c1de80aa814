package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// summaryTokens is the length of a summary if the request names none.
const summaryTokens = 32

// Summary returns the tokens that an engine generates for a prompt: the word
// "summary", a digest of the prompt, and its longer words in order, from the
// start again until the summary has as many tokens as wanted. 0 means 32.
func Summary(prompt []byte, tokens int) []string {
	if tokens <= 0 {
		tokens = summaryTokens
	}
	sum := sha256.Sum256(prompt)
	summary := []string{"summary ", hex.EncodeToString(sum[:6]) + " "}
	var words []string
	for _, w := range wordsOf(strings.ToValidUTF8(string(prompt), " ")) {
		if len(w) > 3 {
			words = append(words, w+" ")
		}
	}
	if len(words) == 0 {
		words = []string{"nothing "}
	}
	for i := 0; len(summary) < tokens; i++ {
		summary = append(summary, words[i%len(words)])
	}
	return summary[:tokens]
}
