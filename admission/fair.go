package admission

import "slices"

// fairLevel returns the largest number of requests that each workspace may have on time if
// a capacity is divided fairly among demands: no workspace gets more than it asks for, and
// what it leaves goes to the others.
func fairLevel(demands []int, capacity int) float64 {
	sorted := slices.Sorted(slices.Values(demands))
	left := float64(capacity)
	for i, demand := range sorted {
		level := left / float64(len(sorted)-i)
		if float64(demand) > level {
			return level
		}
		left -= float64(demand)
	}
	if len(sorted) == 0 {
		return left
	}
	return float64(sorted[len(sorted)-1])
}
