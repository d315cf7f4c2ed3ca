#!/bin/sh
# An entry is killed while non-idempotent orders run or are queued.  When an order is
# repeated at another entry with its key, it must get the answer of its only run.

. "$(dirname "$0")/lib/instances.sh"

start_platform
start_engines 1 --step-ms 40
start orders standin-service
start_instance 1 north-a
start_instance 2 north-b
endpoints="$(engine assist-1 "$(port engines 1)" north-a)
$(places=1 endpoint orders-1 orders "$(port orders)" north-a '')"
commit_document
wait_for in_force 1 1 2
wait_for serves 1
wait_for serves 2

# order N KEY: send an order to entry N
order () {
	entry=$1
	key=$2
	shift 2
	curl -s -m 60 "http://$(ip "$entry"):8000/orders/dispatch" \
		-H 'Authorization: Bearer clerk-token' \
		-H "Idempotency-Key: $key" -d '{"bales":4}' \
		-w '\n%{http_code}\n' "$@"
}
accepted () {
	order "$1" "warm-up-$1" | tail -n 1 | grep -q 200
}
wait_for accepted 1
wait_for accepted 2

runs_of () {
	curl -s "http://$(address orders)/control/ledger" |
	tr '{' '\n' | grep "\"$1\"" | grep -o '"runs" *: *[0-9]*' |
	grep -o '[0-9]*$'
}
runs () {
	test "$(runs_of "$1")" = 1
}

# record N KEY BODY: a non-idempotent completion at entry N
record () {
	ask "$1" clerk-token "$3" -H 'X-Non-Idempotent: true' \
		-H "Idempotency-Key: $2" -w '\n%{http_code}\n'
}
note='{"model":"note-40@1","prompt":"p","max_tokens":60}'
is_running_there () {
	curl -s "http://$(address engines 1)/control/ledger" |
	grep -q '"finished":0,"tokens":[1-9]'
}
long_runs () {
	curl -s "http://$(address engines 1)/control/ledger" |
	grep -o '"tokens":60' | wc -l
}

curl -s "http://$(address orders)/control" \
	-d '{"mode":"slow","delay_ms":6000,"count":1}' >/dev/null
order 1 k1 >"$work/lost" 2>&1 &
one=$!
record 1 k2 "$note" >"$work/lost-note" 2>&1 &
two=$!
wait_for runs k1
wait_for is_running_there

# counted NAME: the sum of a counter over both owners
counted () {
	for n in 1 2
	do
		curl -s "http://$(ip "$n"):8004/metrics"
	done | awk -v name="$1" '$1 == name {n += $2} END {print n + 0}'
}
# This order is queued, because the service's only place is in use.
before=$(counted hc_owner_runs_total)
order 1 k3 -H 'X-Deadline-Ms: 5000' >"$work/queued" 2>&1 &
three=$!
is_queued () {
	test "$(counted hc_owner_runs_total)" -gt "$before"
}
wait_for is_queued
kill_now entry1
wait "$one" "$two" "$three"

order 2 k1 >"$work/again"
tail -n 1 "$work/again" >"$work/status"
expect 'the repeated order gets the answer of its run' cat "$work/status" <<\END
200
END
expect 'the repeated order ran once' runs_of k1 <<\END
1
END

# When the owner refuses the queued order at its deadline, it records that in the
# claim.
both_written () {
	test "$(counted 'hc_orphans_total{result="written"}')" -ge 2
}
wait_for both_written
ran_again () {
	order 2 k3 | tail -n 1 | grep -q 200
}
wait_for ran_again
expect 'an order that had not run runs when it is sent again' runs_of k3 <<\END
1
END

record 2 k2 "$note" >"$work/note"
tail -n 1 "$work/note" >"$work/status"
expect 'the repeated completion gets the answer of its run' cat "$work/status" <<\END
200
END
expect 'the repeated completion ran once' long_runs <<\END
1
END
expect 'the completion has all tokens' eval 'grep -o "\"completion_tokens\": *[0-9]*" "$work/note" |
	grep -o "[0-9]*$"' <<\END
60
END
finish
