#!/bin/sh
# An endpoint whose record is removed just after a call to the store has failed gets no further
# request; after an outage of some heartbeats it is used until its record would be back.
# Guards against a failed call that counts as an outage, and defers the removal.
. "$(dirname "$0")/lib/front.sh"

start_models
write_config 1
start_front 1
start_front 2
wait_for engines_shared

count () {
	grep -c "\"event\":\"$2\"" "$work/front$1.out"
}
# Status 0 if both instances have logged the event more often than N times.
more () {
	test "$(count 1 "$1")" -gt "$2" && test "$(count 2 "$1")" -gt "$2"
}
# The store refuses calls until both instances have noticed, and $1 s longer.
fail_store () {
	control store mode=refuse
	wait_for more 'store lost' "$failed"
	sleep "$1"
	control store mode=up
	wait_for more 'store regained' "$failed"
	failed=$((failed + 1))
}
failed=0
requests () {
	for n in 1 2 1 2 1 2 1 2 1 2
	do
		ask "$n" /read/x -o /dev/null -w '%{http_code}\n'
	done | sort | uniq -c | tr -s ' '
}
runs () {
	total runs "$chosen"
}

expect 'requests are served' requests <<\END
 10 200
END
# Of two endpoints without load one is always chosen.
chosen=desk-1
test "$(runs)" -gt 0 || chosen=desk-2
fail_store 0
control "$chosen" state=gone
sleep 0.8
before=$(runs)
expect 'requests are served without it' requests <<\END
 10 200
END
test "$(runs)" = "$before" || fail 'the removed endpoint gets requests'

# The same after an outage in which records expire: until 2 s after it.
control "$chosen" state=ready
listed () {
	before=$(runs)
	requests >/dev/null
	test "$(runs)" -gt "$before"
}
wait_for listed
fail_store 2.5
control "$chosen" state=gone
sleep 0.5
before=$(runs)
requests >/dev/null
test "$(runs)" -gt "$before" || fail 'the endpoint is not kept after an outage'
sleep 2
before=$(runs)
requests >/dev/null
test "$(runs)" = "$before" || fail 'the endpoint is used after its record would be back'
finish
