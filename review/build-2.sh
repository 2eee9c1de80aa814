#!/bin/bash
# Builds the stand-ins of the scripts review/6 to review/10 into target/, beside the programs
# that the build command of the deploy file leaves there.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review2 -o target/rig2 ./review/rig2
go build -tags review2 -o target/rig3 ./review/rig3
