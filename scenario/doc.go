// Package scenario runs scripted scenarios against real processes on loopback:
// instances, the stand-in of the platform and stand-ins of backend servers. The
// scripts are in testdata, the commands of the scripts are described in
// README.md.
package scenario
