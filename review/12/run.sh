#!/bin/bash
# Plays the case "evacuation" of review/rig3. Build the deploy file's programs and the stand-ins
# first (review/build-2.sh). TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lycheecrank ] && [ -x target/rig3 ] || { echo "build first"; exit 2; }
exec target/rig3 evacuation review/12/record.txt
