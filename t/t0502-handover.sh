#!/bin/sh
# A second instance joins and takes over an endpoint that is serving.  The former
# owner must finish the streams that run there, and none may be interrupted.

. "$(dirname "$0")/lib/instances.sh"

start_platform
start_engines 2
start_instance 1 north-a
endpoints="$(engine assist-1 "$(port engines 1)" north-a true)
$(engine assist-2 "$(port engines 2)" north-b)"
commit_document
wait_for in_force 1 1
wait_for serves 1

for n in 01 02 03 04
do
	ask 1 clerk-token "{\"model\":\"note-$n@1\",\"prompt\":\"$n\",
		\"max_tokens\":2500,\"stream\":true}" -N \
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
start_instance 2 north-b
moved () {
	status_of 2 8004 | grep -q '"endpoints":1,'
}
wait_for moved
for n in 01 02 03 04
do
	grep -q DONE "$work/note-$n.out" && fail 'a stream ended before the handover'
done
wait $streams

whole () {
	for n in 01 02 03 04
	do
		grep -o '"index":[0-9]*,"choices"' "$work/note-$n.out" |
		grep -o '[0-9]*' >"$work/got"
		seq 0 2499 | cmp - "$work/got"
		grep -c DONE "$work/note-$n.out"
	done
}
expect 'all streams are complete' whole <<\END
1
1
1
1
END
# The first line shows that the metrics could be read, so that a missing counter
# means that no stream was interrupted.
broken () {
	curl -s "http://$(ip 1):8004/metrics" >"$work/metrics"
	grep -c '^hc_owner_loads_total ' "$work/metrics"
	grep '^hc_owner_broken_total' "$work/metrics"
}
expect 'no stream was interrupted' broken <<\END
1
END
expect 'no adapter was unloaded during a request' violations <<\END
"violations":[]
END
finish
