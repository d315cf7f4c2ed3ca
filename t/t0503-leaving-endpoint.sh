#!/bin/sh
# The platform's instance list marks an endpoint as leaving.  After BOUND_SECONDS it
# must get no new requests, and the requests that run there must finish.

. "$(dirname "$0")/lib/instances.sh"

# The list of the stand-in lags by 2 s, and all owners know its content 4 s later.
BOUND_SECONDS=6

start_platform
start_engines 2
start_instance 1 north-a
start_instance 2 north-b
endpoints="$(engine assist-1 "$(port engines 1)" north-a true)
$(engine assist-2 "$(port engines 2)" north-b)"
commit_document
wait_for in_force 1 1 2
wait_for serves 1

# Streams on both engines.
for n in 01 02 03 04
do
	ask 1 clerk-token "{\"model\":\"note-$n@1\",\"prompt\":\"$n\",
		\"max_tokens\":1500,\"stream\":true}" -N \
		>"$work/note-$n.out" 2>&1 &
	streams="$streams $!"
done
begun () {
	for n in 01 02 03 04
	do
		grep -q data: "$work/note-$n.out" || return 1
	done
}
wait_for begun

control () {
	curl -s -X POST "http://$(address list)/control?$1" >/dev/null
}
control "add=assist-1&kind=endpoint&address=127.0.0.1:$(port engines 1)&region=north&failure_domain=north-a"
control 'leave=assist-1'
sleep "$BOUND_SECONDS"

# If the owners did not know that the endpoint leaves, these requests would go to it,
# because it holds the adapter.
ledger () {
	curl -s "http://$(address engines 1)/control/ledger"
}
runs () {
	ledger | grep -o '"request":' | wc -l
}
adapter=$(ledger | grep -o 'note-0[1-4]@1' | head -n 1)
test -n "$adapter" || fail 'no stream runs at the leaving endpoint'
before=$(runs)
for n in 1 2 3 4 5 6
do
	ask 1 clerk-token "{\"model\":\"$adapter\",\"prompt\":\"p\",
		\"max_tokens\":2}" -o /dev/null -w '%{http_code}\n'
done >"$work/codes"
expect 'all requests are served at the other endpoint' sort -u "$work/codes" <<\END
200
END
more () {
	echo $(($(runs) - before))
}
expect 'the leaving endpoint got no new requests' more <<\END
0
END
wait $streams
expect 'all running streams finished' eval \
	'grep -c DONE "$work"/note-0?.out | cut -d: -f2 | sort | uniq -c |
	tr -s " "' <<\END
 4 1
END
expect 'no adapter was unloaded during a request' violations <<\END
"violations":[]
END
finish
