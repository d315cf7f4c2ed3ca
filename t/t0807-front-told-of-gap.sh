#!/bin/sh
# The store sends no events, then drops its history.  Instances that poll for all
# are cut from it, read all items anew and tell the third, whose own poll waits
# for news that does not come.
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
# All that wait now hear nothing; the third, told nothing, polls for itself.
sleep 2
for n in $instances
do
	new_route "$n" && fail "instance $n heard of version 2"
done
control store compact=1
link store1 reset=1
link store2 reset=1
within_seconds 1 new_route 1
within_seconds 1 new_route 2
# A poll of its own would end up to 4 s later.
within_seconds 1 new_route 3
finish
