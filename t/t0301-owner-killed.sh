#!/bin/sh
# An owner is killed while streams run.  Another owner must take over its endpoint
# and resume the streams to their end, and no adapter may be unloaded while a request
# uses it.

. "$(dirname "$0")/lib/instances.sh"

start_platform
start_engines 2
start_instance 1 north-a
start_instance 2 north-b
start_instance 3 north-c
endpoints="$(engine assist-1 "$(port engines 1)" north-a true)
$(engine assist-2 "$(port engines 2)" north-b)"
commit_document
wait_for in_force 1 1 2 3
wait_for serves 1
wait_for serves 2

# Two streams through entry 2, so that one of them may run at the owner to be killed.
stream () {
	ask 2 clerk-token "{\"model\":\"$1@1\",\"prompt\":\"$1\",
		\"max_tokens\":1500,\"stream\":true}" -N >"$work/$1.out" 2>&1
}
stream note-01 &
first=$!
stream note-02 &
second=$!
begun () {
	grep -q data: "$work/note-01.out" && grep -q data: "$work/note-02.out"
}
wait_for begun
kill_now owner1
wait "$first" "$second"

# Complete: every index once and in order, then [DONE].
indices () {
	grep -o '"index":[0-9]*,"choices"' "$work/$1.out" | grep -o '[0-9]*'
}
whole () {
	indices "$1" >"$work/got"
	seq 0 1499 | cmp - "$work/got" && grep -c 'DONE' "$work/$1.out"
}
expect 'the first stream is complete' whole note-01 <<\END
1
END
expect 'the second stream is complete' whole note-02 <<\END
1
END

# Each endpoint is owned by one of the two remaining instances.
split () {
	test "$( (status_of 2 8004; status_of 3 8004) |
		grep -o '"endpoints":[0-9]*' | cut -d: -f2 |
		tr '\n' ' ')" = "$1"
}
owned_by_rest () {
	split '1 1 ' || split '2 0 ' || split '0 2 '
}
wait_for owned_by_rest
echo 'ok: the endpoint has a new owner'
wait_for serves 2
wait_for serves 3

# The killed owner restarts with a new lease and rejoins the membership.
start owner1 hc-owner --settings "$work/i1.json"
is_back () {
	status_of 1 8004 | grep -q '"members":3,"lease":true'
}
wait_for is_back
echo 'ok: the restarted instance is a member again'
wait_for serves 1

expect 'no adapter was unloaded during a request' violations <<\END
"violations":[]
END
finish
