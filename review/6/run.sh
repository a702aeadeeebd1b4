#!/usr/bin/env bash
# Plays case 6: see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not be played. With
# TROUBLE=0 the disruption is left out. Needs the build of the deploy file and review/build-2.sh.
set -u
cd "$(dirname "$0")/../.." || exit 2
for program in target/review-2 target/verbenakeel-fleet; do
	if [ ! -x "$program" ]; then
		echo "$program is missing; build it first" >&2
		exit 2
	fi
done
exec target/review-2 progress target/verbenakeel-fleet review/6/record.txt
