#!/bin/sh
# An engine restarts while it streams.  Its owner must detect that the engine holds
# no adapters any more, keep running, and load requested adapters again.
. "$(dirname "$0")/lib/instances.sh"

start_platform
start_engines 1 --step-ms 20
start_instance 1 north-a
endpoints=$(engine assist-1 "$(port engines)" north-a)
commit_document
wait_for in_force 1 1
wait_for serves 1

for n in 1 2 3
do
	ask 1 clerk-token "{\"model\":\"note-0$n@1\",\"prompt\":\"p\",
		\"max_tokens\":400,\"stream\":true}" -N \
		>"$work/stream$n" 2>&1 &
	streams="$streams $!"
done
begun () {
	for n in 1 2 3
	do
		grep -q data: "$work/stream$n" || return 1
	done
}
wait_for begun
curl -s -d '{"restart":true}' "http://$(address engines)/control" >/dev/null
wait $streams
noticed () {
	grep -q 'engine restarted' "$work/owner1.out" || serves 1 &&
	grep -q 'engine restarted' "$work/owner1.out"
}
wait_for noticed
wait_for serves 1
ended () {
	grep -c 'DONE' "$work/stream1" "$work/stream2" "$work/stream3" |
	sed 's/.*://' | sort -u
}
expect 'no interrupted stream looks complete' ended <<\END
0
END
expect 'a lost adapter is loaded again' eval 'ask 1 clerk-token \
	"{\"model\":\"note-01@1\",\"prompt\":\"p\",\"max_tokens\":1}" \
	-o /dev/null -w "%{http_code}\n"' <<\END
200
END
finish
