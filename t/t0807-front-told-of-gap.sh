#!/bin/sh
# The store drops its history, and the polls of the two instances that poll for all
# are reset, so that they read all items again.  The third instance must learn from
# them that it has missed changes: its own poll gets no answer, since the store sends
# no events.
. "$(dirname "$0")/lib/front.sh"

start_models
instances='1 2 3'
start_links
write_config 1
for n in $instances
do
	start_front "$n"
done

new_route () {
	test "$(ask "$1" /new/x -o /dev/null -w '%{http_code}')" = 200
}
control store hush=1
write_config 2 "$default_routes
new /new/ idempotent desk 1000 1"
# No poll returns a change; the third instance hears of no poll and polls itself.
sleep 2
for n in $instances
do
	new_route "$n" && fail "instance $n has version 2"
done
control store compact=1
link store1 reset=1
link store2 reset=1
within_seconds 1 new_route 1
within_seconds 1 new_route 2
# Its own poll gets no answer.
within_seconds 1 new_route 3
unreadable () {
	cat "$work"/front?.out | grep -c 'peer message unreadable'
}
expect 'the instances could read what they were told' unreadable <<\END
0
END
finish
