#!/bin/sh
# A model server spoils one byte in the head of some answers.
. "$(dirname "$0")/../lib-2/common.sh"
begin 6

start_store
write_config
# Each 20th answer to an order or report: x = 0.05.
spoil=20
test "$TROUBLE" = 0 && spoil=0
start_server engine1 engine "spoil_call=$spoil"
list_server engine-1 assist "$port" '[{"name": "base", "version": 1, "adapters": []}]'
start_server engine2 engine
list_server engine-2 assist "$port" '[{"name": "base", "version": 1, "adapters": []}]'
start_server desk plain delay=150
list_server desk-1 desk "$port"
start_front 1
# Its first leases and locks.
sleep 4

# The platform starts a process again that has ended.
ends=0
touch "$work/ends"
watch () {
	while test ! -f "$work/over"
	do
		if ! is_running front1
		then
			echo "front1 ended by itself" >>"$work/ends"
			cat "$work/front1.err" >>"$work/errors"
			sleep 0.5
			start front1 target/bin/hc-front --settings "$work/front1.json"
		fi
		sleep 0.1
	done
}
watch &
watcher=$!

# Ordinary requests for the plain service, on connections that have served one before,
# and requests for 150 adapters of the engines.
KEPT=1 "$rv2" ask "$network.1:8000" 600 25 3000 POST /write/x \
	'X-Hawthorncross-Deadline-Ms: 1000' >"$work/writes.out" 2>&1 &
writes=$!
n=0
while test "$n" -lt 150
do
	n=$((n + 1))
	"$rv2" ask "$network.1:8000" 1 0 3000 POST /resume/x \
		"X-Hawthorncross-Model: base/a$n" \
		'X-Hawthorncross-Token-Count: 100,20' \
		'X-Hawthorncross-Deadline-Ms: 5000' >>"$work/adapters.out" 2>&1
	sleep 0.05
done
wait "$writes"
touch "$work/over"
wait "$watcher"
cat "$work/writes.out" "$work/adapters.out" >>"$record"
keep engine1 engine2 desk
note '--- front1: standard error of the processes that ended'
cat "$work/errors" >>"$record" 2>/dev/null
ends=$(wc -l <"$work/ends")
# Requests that the sound server was running as their connection was closed.
lost=$(awk 'FILENAME ~ /desk/ { ran[$3] = 1 }
	/^request/ && ($7 == "closed" || $7 == "broken") && $2 in ran { lost++ }
	END { print lost + 0 }' "$work/desk.out" "$work/writes.out")
sent=$(grep -c '^request' "$work/writes.out")
none=$(grep -c 'no-connection' "$work/writes.out")
sums="the process ended by itself $ends times; of $sent requests for the sound server,
$lost were passed on and closed without an answer, $none found no process"
test "$ends" = 0 && test "$lost" -le 3 && verdict 0 "held: $sums"
verdict 1 "broken: $sums"
