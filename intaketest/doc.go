// Package intaketest plays clients that exceed the limits against real processes on
// loopback addresses, with the memory limit of a small machine. It has only tests. They
// check that the process stays alive, that its memory and its open descriptors stay within
// a bound, and that an ordinary request is answered afterwards, while the crowd is still
// connected. They don't run in parallel, and .ci/run runs them apart from the other tests.
package intaketest
