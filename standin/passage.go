package standin

import (
	"cmp"
	"slices"
)

// topPassages is how many passages a stage returns if the request names no
// number.
const topPassages = 3

// corpus is what the retriever searches.
var corpus = []string{
	"A helmet shell that cracks below 90 joules fails the shock absorption test and must be withdrawn.",
	"The retention strap of a cycle helmet must hold 500 newtons without slipping off the chin.",
	"Importers publish a recall notice within three days and offer a refund or a replacement.",
	"Retailers take recalled helmets off the shelf and return them to the importer at no cost.",
	"Children under seven need a helmet with a green buckle that opens by itself when caught.",
	"A helmet that took a hard fall is replaced even if no crack can be seen.",
	"Helmets with a missing type mark are held at customs until the laboratory has tested them.",
	"The laboratory soaks, chills and heats the helmet before it drops the headform on the anvil.",
	"The winery gate counted most visitors on harvest weekends in February and March.",
	"A tally is the number of visitors that passed a gate between two readings.",
	"Museums bill by the visitor, so that a tally registered twice is paid twice.",
	"The festival gate closes its tally at midnight and starts the next one at zero.",
	"Venues compare the monthly total with the same month of the year before.",
	"A camera that loses power reports the gap, and the manager enters the count by hand.",
}

// Retrieve returns the query with the passages of the corpus that are nearest
// to its vector, best first. A top of 0 means 3.
func Retrieve(input []byte, top int) []byte {
	s := parseStage(input)
	if len(s.Vector) == 0 {
		s.Vector = vectorOf(s.Query)
	}
	s.Passages = best(corpus, top, func(p string) float64 { return similarity(s.Vector, vectorOf(p)) })
	s.Vector = nil
	return s.encoded()
}

// Rerank returns the query with its passages ordered by the share of their
// words that the query has too, best first. A top of 0 means 3.
func Rerank(input []byte, top int) []byte {
	s := parseStage(input)
	query := map[string]bool{}
	for _, w := range wordsOf(s.Query) {
		query[w] = true
	}
	s.Passages = best(s.Passages, top, func(p string) float64 {
		words := wordsOf(p)
		shared := 0
		for _, w := range words {
			if query[w] {
				shared++
			}
		}
		return float64(shared) / float64(max(1, len(words)))
	})
	s.Vector = nil
	return s.encoded()
}

// best returns the passages with the highest scores; equal ones keep their
// order.
func best(passages []string, top int, score func(string) float64) []string {
	if top <= 0 {
		top = topPassages
	}
	ordered := slices.Clone(passages)
	slices.SortStableFunc(ordered, func(a, b string) int { return cmp.Compare(score(b), score(a)) })
	return ordered[:min(top, len(ordered))]
}
