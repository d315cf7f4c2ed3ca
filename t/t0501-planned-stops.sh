#!/bin/sh
# Instances are stopped as planned and restarted one after another under load.  No
# request may be interrupted.

. "$(dirname "$0")/lib/instances.sh"

start_platform
start_engines 3
start_instance 1 north-a
start_instance 2 north-b
start_instance 3 north-c
endpoints="$(engine assist-1 "$(port engines 1)" north-a true)
$(engine assist-2 "$(port engines 2)" north-b)
$(engine assist-3 "$(port engines 3)" north-c)"
commit_document
wait_for in_force 1 1 2 3
wait_for serves 1
wait_for serves 2
wait_for serves 3

# Entry 3 runs until the end; all load goes through it, and no request may fail.
"$bin/hc-load" --entry "$(ip 3):8000" --tokens clerk-token \
	--adapter-prefix note-1 --adapters 10 --duration 25 --callers 6 \
	--json "$work/result.json" >"$work/table" 2>&1 &
load=$!
for n in 1 2
do
	stop "entry$n"
	test "$status" -eq 0 || fail "entry $n exited with status $status"
	stop "owner$n"
	test "$status" -eq 0 || fail "owner $n exited with status $status"
	start "owner$n" hc-owner --settings "$work/i$n.json"
	start "entry$n" hc-entry --settings "$work/i$n.json"
	wait_for in_force 1 "$n"
	wait_for serves "$n"
done
stop owner3
test "$status" -eq 0 || fail "owner 3 exited with status $status"
wait "$load"
echo "hc-load ended with $?"
cat "$work/table"
value () {
	grep -o "\"$1\" *: *[0-9]*" "$work/result.json" | head -n 1 |
	grep -o '[0-9]*$'
}
test "$(value right)" -gt 0 || fail 'no request was answered'
expect 'no answer is truncated or wrong' eval 'value cut; value wrong' <<\END
0
0
END
stop entry3
test "$status" -eq 0 || fail "entry 3 exited with status $status"
expect 'no adapter was unloaded during a request' violations <<\END
"violations":[]
END
finish
