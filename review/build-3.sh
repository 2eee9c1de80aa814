#!/bin/bash
# Builds the stand-ins of the scripts review/11 to review/15 into target/review-3, beside the
# programs that the build command of the deploy file leaves in target.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -tags review3 -o target/review-3/rig4 ./review/rig4
