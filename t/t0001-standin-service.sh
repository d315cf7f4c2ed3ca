#!/bin/sh
# Test the plain service stand-in: its ledger and each failure mode.
. "$(dirname "$0")/lib/deploy.sh"

start desk standin-service
base=http://$(address desk)

order () {
	curl -sS --max-time 10 -X POST -H "Idempotency-Key: $1" "$base/orders" \
		2>/dev/null
	echo " curl=$?"
}
control () {
	curl -sS -X POST -d "$1" "$base/control"
	echo
}
get () {
	curl -sS "$base$1"
	echo
}

expect 'an order sent twice runs twice' eval 'order a; order a' <<\END
{"order":"a","path":"/orders","run":1} curl=0
{"order":"a","path":"/orders","run":2} curl=0
END
expect 'an order without an identifier is refused' curl -sS -o /dev/null \
	-w '%{http_code}\n' -X POST "$base/orders" <<\END
400
END
expect 'a read adds no order' get /orders/a <<\END
{"path":"/orders/a","orders":1}
END

control '{"mode":"fail_before","count":1}' >/dev/null
order before | grep -q '"outcome":"not_run"' || fail 'the outcome is not not_run'
control '{"mode":"fail_after","count":1}' >/dev/null
order after | grep -q '"outcome":"unknown"' || fail 'the outcome is not unknown'
control '{"mode":"close","count":1}' >/dev/null
order close | grep -q 'curl=0' && fail 'a truncated response is not reported as an error'
control '{"mode":"slow","delay_ms":50,"count":1}' >/dev/null
expect 'a slow order is answered' order slow <<\END
{"order":"slow","path":"/orders","run":1} curl=0
END

control '{"mode":"hang","count":1}' >/dev/null
curl -sS --max-time 0.5 -X POST -H 'Idempotency-Key: hang' "$base/orders" \
	>/dev/null 2>&1
test $? -eq 28 || fail 'a hung order was answered'
idle () {
	get /report | grep -q '"running":0'
}
wait_for idle

expect 'the ledger counts runs and answers of each order' get /control/ledger <<\END
{"orders":[{"id":"a","path":"/orders","runs":2,"answers":2},{"id":"after","path":"/orders","runs":1,"answers":0},{"id":"close","path":"/orders","runs":1,"answers":0},{"id":"hang","path":"/orders","runs":1,"answers":0},{"id":"slow","path":"/orders","runs":1,"answers":1}]}
END
control '{"mode":"dance"}' | grep -q 'one of the modes' || fail 'the error lists no modes'
stop desk
test "$status" -eq 0 || fail "exit status $status"
finish
