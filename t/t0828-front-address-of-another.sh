#!/bin/sh
# The address of an engine belongs to an endpoint of another service, and its entry is still there.
# Guards against requests that are sent to that endpoint again and again, each of them and for good.
. "$(dirname "$0")/lib/front.sh"

start_models --events 2
write_config 1
start_front 1
start_front 2
wait_for engines_shared
for n in 1 2
do
	adapter "$n" a1 -o /dev/null
	adapter "$n" a2 -o /dev/null
done
for engine in engine-1 engine-2
do
	control "$engine" "state=ready&listed=$(model desk-1)"
done
sleep 0.8
requests () {
	for name in a1 a2 a1 a2 a1 a2
	do
		for n in 1 2
		do
			adapter "$n" "$name" -o /dev/null -w '%{http_code}\n'
		done
	done | sort | uniq -c | tr -s ' '
}
expect 'nobody can serve them' requests <<\END
 12 503
END
down () {
	cat "$work"/front?.out | grep -c 'engine unreachable.*another server answers'
}
both_down () {
	test "$(down)" -ge 2
}
wait_for both_down
repeated=$(cat "$work"/front?.out | grep -c '"event":"request".*"sends":"[3-9]"')
test "$repeated" = 0 || fail "$repeated requests were sent three times or more"
# Once its holder knows, an engine gets no requests.
sends () {
	cat "$work"/front?.out | grep '"event":"request"' |
	sed 's/.*"sends":"\([0-9]*\)".*/\1/' | awk '{ sum += $1 } END { print sum }'
}
before=$(sends)
requests >"$work/later"
sleep 0.2
test "$(sends)" = "$before" || fail 'requests are sent to the other endpoint later'

for engine in engine-1 engine-2
do
	control "$engine" "state=ready&listed=$(model "$engine")"
done
served () {
	test "$(adapter 1 a1 -o /dev/null -w '%{http_code}')" = 200 &&
		test "$(adapter 2 a2 -o /dev/null -w '%{http_code}')" = 200
}
wait_for served
finish
