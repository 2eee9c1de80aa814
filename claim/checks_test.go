//go:build !race

package claim_test

// checks is the number of random schedules.
const checks = "3000"
