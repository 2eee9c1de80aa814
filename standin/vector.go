package standin

import (
	"encoding/json"
	"math"
	"strings"
	"unicode"

	"github.com/cespare/xxhash/v2"
)

// dimensions is the length of the vectors that encoders make.
const dimensions = 32

// Stage is what the stages of a pipeline hand on, as JSON. An input that is no
// such object counts as a query.
type Stage struct {
	Query    string    `json:"query"`
	Vector   []float64 `json:"vector,omitempty"`
	Passages []string  `json:"passages,omitempty"`
}

// parseStage reads the output of the stage before.
func parseStage(input []byte) Stage {
	var s Stage
	if err := json.Unmarshal(input, &s); err != nil || s.Query == "" {
		return Stage{Query: strings.ToValidUTF8(string(input), "")}
	}
	return s
}

func (s Stage) encoded() []byte {
	// A stage has only strings and finite numbers, which can't fail to encode.
	output, _ := json.Marshal(s)
	return output
}

// Encode returns the input with its vector: the hashed words of the query,
// normalised to length 1.
func Encode(input []byte) []byte {
	s := parseStage(input)
	s.Vector = vectorOf(s.Query)
	return s.encoded()
}

func vectorOf(text string) []float64 {
	v := make([]float64, dimensions)
	for _, w := range wordsOf(text) {
		v[xxhash.Sum64String(w)%dimensions]++
	}
	var square float64
	for _, x := range v {
		square += x * x
	}
	if square == 0 {
		return v
	}
	for i := range v {
		// Three decimals keep the messages small and golden files the same on all
		// processors.
		v[i] = math.Round(v[i]/math.Sqrt(square)*1000) / 1000
	}
	return v
}

func wordsOf(text string) []string {
	return strings.FieldsFunc(strings.ToLower(text), func(r rune) bool {
		return !unicode.IsLetter(r) && !unicode.IsDigit(r)
	})
}

func similarity(a, b []float64) float64 {
	var sum float64
	for i := range min(len(a), len(b)) {
		sum += a[i] * b[i]
	}
	return sum
}
