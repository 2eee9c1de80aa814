//go:build !race

package claim_test

// scheduleCount is the number of random schedules.
const scheduleCount = "3000"
