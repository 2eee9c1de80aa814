package standin

import (
	"slices"

	"lycheecrank.example/standin/fault"
)

// shaped returns a sequence as the fault sends it: cut to its first half, in
// reverse order, each part twice.
func shaped[T any](f fault.Call, parts []T) []T {
	if f.CutShort {
		parts = parts[:len(parts)/2]
	}
	if f.Reorder {
		parts = slices.Clone(parts)
		slices.Reverse(parts)
	}
	if f.Repeat {
		parts = doubled(parts)
	}
	return parts
}

func doubled[T any](parts []T) []T {
	twice := make([]T, 0, 2*len(parts))
	for _, p := range parts {
		twice = append(twice, p, p)
	}
	return twice
}
