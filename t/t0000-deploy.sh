#!/bin/sh
# Test the functions of t/lib/deploy.sh with an engine stand-in.
. "$(dirname "$0")/lib/deploy.sh"

start_many 2 engine standin-engine --count 2 --slots 3
test "$(port engine 1)" != "$(port engine 2)" || fail 'both engines have the same port'

slots () {
	curl -sS --max-time 10 "http://$(address engine "$1")/report" |
	grep -o '"slot":2'
}
wait_for slots 2

expect 'equal output passes' echo same <<\END
same
END

# Run a check that must fail in a subshell, so that this script continues.
fails () {
	if (trap - EXIT; "$@") >"$work/said" 2>&1
	then
		fail "passed, but must fail: $*"
	fi
}
differs () {
	echo one | expect 'different output' echo two
}
fails differs
grep -q '^-one$' "$work/said" || fail 'the diff is not printed'
never () {
	WAIT_ATTEMPTS=2
	wait_for false
}
fails never
fails start broken standin-engine --no-such-option
grep -q 'broken ended at its start' "$work/said" || fail 'the failed start is not reported'

stuck () {
	curl -sS --max-time 0.2 "http://$(address engine)/report"
}
freeze engine
fails stuck
thaw engine
wait_for slots 1

kill_now engine
is_running engine && fail 'still running'
test "$status" -eq 137 || fail "exit status $status"
start engine standin-engine
wait_for is_running engine
finish
