#!/bin/sh
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption
# out. It needs the build of deploy/system.toml and review/build.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/verbenakeel-fleet ] && [ -x target/review-standin ] || { echo "build the programs and the stand-in first"; exit 2; }
exec target/review-standin many-ends "$folder/record.txt"
