#!/bin/sh
# An engine that asked its holder for quiet gets neither orders nor reports nor requests
# from it until that time is over; other instances are served meanwhile.
. "$(dirname "$0")/lib/front.sh"

# Far longer than the requests take that have to fall into it.
QUIET_S=20

start_models
write_config 1
start_front 1
start_front 2
wait_for engines_shared
# Load the base model and an adapter on each engine.
for name in m1 m2 m3 m4
do
	adapter 2 "$name" -o /dev/null
done

# The engine that instance 1 holds.
engine=$(curl -s "http://$(ip 1):8001/status" | grep -o '"engine-[12]-1":' | tr -d '":')
engine=${engine%-1}
control "$engine" "mode=full&quiet=$QUIET_S"
asked () {
	request_name=r$((${request_name#r} + 1))
	adapter 1 "$request_name" -o /dev/null
	grep -q "\"event\":\"endpoint asks for quiet\",\"endpoint\":\"$engine-1\"" \
		"$work/front1.out"
}
request_name=r0
wait_for asked
quiet_until=$(($(date +%s) + QUIET_S))
control "$engine" mode=ok
# Calls that were sent before the engine asked.
sleep 0.5
calls () {
	echo "$(total orders "$engine") $(total reports "$engine")"
}
before=$(calls)
# Adapters that no engine has yet, requested through the other instance: its holder would
# order the engine to load some of them, and ask for a report when it has not for 5 s.
many () {
	for n in 1 2 3 4 5 6 7 8 9 10 11 12
	do
		adapter 2 "$1$n" -o /dev/null -w '%{http_code}\n'
	done | sort | uniq -c | tr -s ' '
}
expect 'requests through the other instance are served' many q <<\END
 12 200
END
sleep 5.5
test "$(calls)" = "$before" ||
	fail "orders and reports in the time of quiet: $before, then $(calls)"
left=$((quiet_until + 1 - $(date +%s)))
test "$left" -lt 1 || sleep "$left"
expect 'they are served afterwards' many s <<\END
 12 200
END
test "$(total orders "$engine")" -gt "${before% *}" ||
	fail 'the engine got no order after the time of quiet'
finish
