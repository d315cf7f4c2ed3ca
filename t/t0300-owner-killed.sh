#!/bin/sh
# An owner is killed while it serves long streams through three entries.  The next
# owner must resume every stream to its end, and the engine must run each request
# once.
. "$(dirname "$0")/lib/instances.sh"

places=64
start_platform
start_engines 3 --places 64 --step-ms 2 --linger-ms 60000
endpoints=
for n in 1 2 3
do
	domain=north-$(echo abc | cut -c"$n")
	start_instance "$n" "$domain"
	endpoints="$endpoints
$(engine "assist-$n" "$(port engines "$n")" "$domain")"
done
commit_document
wait_for in_force 1 1 2 3
for n in 1 2 3
do
	wait_for serves "$n"
done

"$bin/hc-load" --entry "$(ip 1):8000" --entry "$(ip 2):8000" \
	--entry "$(ip 3):8000" --tokens clerk-token --adapter-prefix note-1 \
	--adapters 6 --duration 1 --callers 12 --max-tokens 2000 --timeout 90 \
	--json "$work/result.json" >"$work/table" 2>&1 &
load=$!

# The first engine that is in the middle of a stream.
victim=
is_streaming () {
	curl -s "http://$(address engines "$1")/control/ledger" |
	grep -q '"finished":0,"tokens":[0-9][0-9][0-9]}'
}
find_victim () {
	for n in 1 2 3
	do
		victim=$n
		is_streaming "$n" && return 0
	done
	return 1
}
wait_for find_victim
owner=
for n in 1 2 3
do
	grep -q "taken.*\"assist-$victim\"" "$work/owner$n.out" && owner=$n
done
test -n "$owner" || fail "assist-$victim has no owner"
kill_now "owner$owner"
status=0
wait "$load" || status=$?
test "$status" -eq 0 || { cat "$work/table"; fail 'an answer is wrong'; }

count () {
	sed -n "s/^ *\"$1\" : \([0-9]*\),*\$/\1/p" "$work/result.json" |
	head -n 1
}
test "$(count right)" -eq "$(count sent)" ||
	{ cat "$work/table"; fail 'a stream is incomplete'; }
expect 'the engines recorded no violation' violations <<\END
"violations":[]
END
again () {
	ledgers | grep -o '"count":[2-9]' | wc -l
}
expect 'no request ran twice' again <<\END
0
END
finish
