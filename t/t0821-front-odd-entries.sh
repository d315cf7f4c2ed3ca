#!/bin/sh
# Odd entries of another writer among those of the endpoints name no endpoint, and the others
# are followed as before.
# Guards against an entry that ends the processes that read it, or that they stop at.
. "$(dirname "$0")/lib/front.sh"

start_models
write_config 1
start_front 1
start_front 2
wait_for engines_shared

entry () {
	echo "{\"service\":\"desk\",\"addr\":\"$1\",\"zone\":\"north-a\",\"slots\":$2,
		\"state\":\"ready\",\"seq\":0,\"coldLeftMs\":0,\"born\":$3$4}" |
	put_item "servers/$5"
}
# A value of 1 MB that nests all along.
{
	printf '{"service":"desk","notes":'
	head -c 500000 /dev/zero | tr '\0' '['
} | put_item servers/deep-1
{
	printf '{"service":"desk","notes":'
	yes '{"a":' | head -n 80000 | tr -d '\n'
} | put_item servers/deep-2
entry 127.0.0.1:99999 4 1 '' port-1
entry 127.0.0.1:0 4 1 '' port-2
entry 127.0.0.1:184467440737095516160 4 1 '' port-3
entry nowhere.example:80 4 1 '' name-1
entry 999.1.1.1:80 4 1 '' name-2
entry 127.0.0.1:9 99999999999999999999 1 '' slots-1
entry 127.0.0.1:9 1e400 1 '' slots-2
entry 127.0.0.1:9 4 99999999999999999999 '' born-1
entry 127.0.0.1:9 4 1e999 '' born-2
entry 127.0.0.1:9 4 1 ',"models":[[],7,{"name":{}}]' 'id%0d%0aX-A:%201'
printf 'no JSON\377\376' | put_item servers/bytes-1
printf '' | put_item servers/empty-1

# What comes after them is followed by both instances, and by one that starts now.
write_config 2 "$default_routes
late /late/ idempotent desk 1000 2"
start_front 3
late () {
	for n in 1 2 3
	do
		ask "$n" /late/x -o /dev/null -w '%{http_code}\n'
	done
}
in_force () {
	! late | grep -qv 200
}
within_seconds 2 in_force
control desk-2 state=draining
sleep 2
before=$(total runs desk-2)
expect 'only the sound endpoint is used' eval 'for n in 1 2 3 4; do late; done | uniq -c |
	tr -s " "' <<\END
 12 200
END
test "$(total runs desk-2)" = "$before" || fail 'an endpoint that leaves got requests'
# Engines, whose reports may nest as well, are still held.
expect 'adapters are served' adapter 3 odd -o /dev/null -w '%{http_code}\n' <<\END
200
END
finish
