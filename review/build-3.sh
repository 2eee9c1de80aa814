#!/bin/bash
# Builds the rig of the cases 11 to 15, which has the stand-ins that the scripts start.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-3/rig4 ./review/rig4
