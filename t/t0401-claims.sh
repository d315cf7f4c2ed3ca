#!/bin/sh
# A non-idempotent order must run at most once: when it is repeated at another entry,
# when two entries race, when the key-value service loses a response, and when that
# service is unavailable.

. "$(dirname "$0")/lib/instances.sh"

start_platform
start_engines 1
start orders standin-service
start_instance 1 north-a
start_instance 2 north-b
endpoints="$(engine assist-1 "$(port engines 1)" north-a)
$(endpoint orders-1 orders "$(port orders)" north-a '')"
commit_document
wait_for in_force 1 1 2

# order N KEY BODY: send an order to entry N
order () {
	curl -s -m 60 "http://$(ip "$1"):8000/orders/dispatch" \
		-H 'Authorization: Bearer clerk-token' \
		-H "Idempotency-Key: $2" -d "$3" -w '\n%{http_code}\n'
}
accepted () {
	order "$1" "warm-up-$1" '{"bales":0}' | tail -n 1 | grep -q 200
}
wait_for accepted 1
wait_for accepted 2

runs_of () {
	curl -s "http://$(address orders)/control/ledger" |
	tr '{' '\n' | grep "\"$1\"" | grep -o '"runs" *: *[0-9]*' |
	grep -o '[0-9]*$'
}

order 1 k1 '{"bales":4}' >"$work/first"
order 2 k1 '{"bales":4}' >"$work/again"
expect 'a repeat at another entry returns the answer of the first run' \
	cmp "$work/first" "$work/again" </dev/null
expect 'the repeated order ran once' runs_of k1 <<\END
1
END

# A repeat that arrives during the run waits for the answer of that run.
curl -s "http://$(address orders)/control" \
	-d '{"mode":"slow","delay_ms":1500,"count":1}' >/dev/null
order 1 k5 '{"bales":9}' >"$work/slow" &
one=$!
runs () {
	test "$(runs_of k5)" = 1
}
wait_for runs
order 2 k5 '{"bales":9}' >"$work/attached"
wait "$one"
tail -n 1 "$work/slow" >"$work/slow-status"
expect 'the first request is answered' cat "$work/slow-status" <<\END
200
END
expect 'a repeat during the run returns the answer of that run' \
	cmp "$work/slow" "$work/attached" </dev/null
expect 'the order repeated during its run ran once' runs_of k5 <<\END
1
END

another_body () {
	order 2 k1 '{"bales":5}' | tail -n 1
}
expect 'another body under the same key is refused' another_body <<\END
400
END

order 1 k2 '{"bales":6}' >"$work/race1" &
one=$!
order 2 k2 '{"bales":6}' >"$work/race2" &
two=$!
wait "$one" "$two"
expect 'an order sent to two entries at once ran once' runs_of k2 <<\END
1
END

curl -s "http://$(address kv)/control?lose=1" >/dev/null
order 1 k3 '{"bales":7}' >"$work/lost"
order 2 k3 '{"bales":7}' >"$work/lost-again"
expect 'an order whose claim response was lost ran once' runs_of k3 <<\END
1
END

no_key () {
	curl -s -m 60 "http://$(ip 1):8000/orders/dispatch" \
		-H 'Authorization: Bearer clerk-token' -d '{}' \
		-o /dev/null -w '%{http_code}\n'
}
expect 'an order without a key is refused' no_key <<\END
400
END

# Without the key-value service the order cannot be claimed, so it must not run.
stop kv
order 1 k4 '{"bales":8}' >"$work/down"
expect 'without the key-value service an order is refused as not run' eval \
	'grep -o "\"outcome\":\"[a-z_]*\"" "$work/down"; tail -n 1 "$work/down"
	runs_of k4' <<\END
"outcome":"not_run"
503
END
finish
