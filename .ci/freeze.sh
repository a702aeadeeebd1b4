#!/usr/bin/env bash
# Runs a command and freezes all of its processes together again and again, as a stalled machine does. A test whose verdict
# depends on the speed of the machine fails under it.
# Usage: freeze.sh RUN_SECONDS FROZEN_SECONDS COMMAND [ARGUMENT]...
set -u
run=$1 frozen=$2
shift 2
setsid "$@" &
session=$!
signal_session() {
	ps -eo pid=,sid= | awk -v s="$session" '$2 == s { print $1 }' | xargs -r kill "-$1" 2>/dev/null
}
trap 'signal_session CONT; signal_session TERM' INT TERM
while kill -0 "$session" 2>/dev/null; do
	sleep "$run"
	signal_session STOP
	sleep "$frozen"
	signal_session CONT
done
wait "$session"
