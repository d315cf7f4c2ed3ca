#!/bin/sh
# A plain service must receive the method, path, query, content type and body as the
# caller sent them, and an idempotency key must cover the query.

. "$(dirname "$0")/lib/instances.sh"

start_platform
start orders standin-service
start_instance 1 north-a
endpoints=$(endpoint orders-1 orders "$(port orders)" north-a '')
commit_document
wait_for in_force 1 1

order () {
	path=$1
	shift
	curl -s -m 30 --path-as-is "http://$(ip 1):8000$path" \
		-H 'Authorization: Bearer clerk-token' "$@"
	echo
}

serves_orders () {
	order /orders/ | grep -q '"orders"'
}
wait_for serves_orders

last () {
	curl -s "http://$(address orders)/control/last"
	echo
}

# The request as the service received it.
got () {
	order "$@" >/dev/null
	last
}

expect 'path and query arrive unchanged' \
	got '/orders/a%2Fb%20c?from=2026-01-01&q=%3F/../x&&q=' <<\END
{"method":"GET","target":"/orders/a%2Fb%20c?from=2026-01-01&q=%3F/../x&&q=","content_type":null,"body":""}
END
expect 'method, content type and body arrive unchanged' \
	got '/orders/7?part=1' -X PUT -H 'Content-Type: text/csv; header=absent' \
	-d 'a;b' <<\END
{"method":"PUT","target":"/orders/7?part=1","content_type":"text/csv; header=absent","body":"a;b"}
END
expect 'a path out of the service is refused' order /orders/../other <<\END
{"error":{"message":"the path has a wrong %-encoding or a segment '.' or '..'; encode it anew, or leave out the segment","type":"invalid","outcome":"not_run"}}
END

expect 'a path that is not valid text is quoted in encoded form' order /%ff%0a <<\END
{"error":{"message":"no service at '/%ff%0a' for caller 'clerk'; check the path","type":"not_found","outcome":"not_run"}}
END

keyed () {
	order "$1" -H 'Idempotency-Key: k1' -d x | sed 's/"message":"[^"]*",//'
}
expect 'an idempotency key covers the query' eval \
	'keyed "/orders/new?n=1"; keyed "/orders/new?n=1"; keyed "/orders/new?n=2"' <<\END
{"order":"k1","path":"/orders/new","run":1}
{"order":"k1","path":"/orders/new","run":1}
{"error":{"type":"invalid","outcome":"not_run"}}
END
finish
