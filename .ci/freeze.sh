#!/usr/bin/env bash
# Runs a command and freezes all of its processes together again and again, as a stalled machine does. A test whose verdict
# depends on the speed of the machine fails under it.
# Usage: freeze.sh RUN_SECONDS FROZEN_SECONDS COMMAND [ARGUMENT]...
set -u
run=$1 frozen=$2
shift 2
setsid "$@" &
session=$!
# running prints the processes of the session that are not stopped.
running() {
	ps -eo pid=,sid=,stat= | awk -v s="$session" '$2 == s && $3 !~ /^T/ { print $1 }'
}
frozen_now=
trap 'kill -CONT $frozen_now 2>/dev/null; kill $(running) 2>/dev/null' INT TERM
while kill -0 "$session" 2>/dev/null; do
	sleep "$run"
	# Processes that the test itself has stopped are left alone, or the thaw would wake them.
	frozen_now=$(running)
	kill -STOP $frozen_now 2>/dev/null
	sleep "$frozen"
	kill -CONT $frozen_now 2>/dev/null
done
wait "$session"
