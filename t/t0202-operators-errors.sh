#!/bin/sh
# Check every error of the operators' interface: status, type, outcome, presence of
# Retry-After, and the remedy in its message; then the faults of a document with
# path or line, cause and remedy.  t0201 covers permissions, races and outages of the
# key-value service.

. "$(dirname "$0")/lib/instances.sh"

# try PATH [OPTION...]: send a request with curl and print its error on one line
try () {
	path=$1
	shift
	curl -s -m 30 -D "$work/head" -o "$work/body" \
		-w '%{http_code} ' "http://$(ip 1):8002$path" "$@"
	sed 's/.*"message":"\([^"]*\)","type":"\([a-z_]*\)","outcome":"\([a-z_]*\)".*/\2 \3 RETRY: \1/' \
		"$work/body" | sed "s/RETRY/$(retry_after)/"
	echo
}

retry_after () {
	if grep -qi '^retry-after: [1-9]' "$work/head"
	then
		echo retry
	else
		echo -
	fi
}

auth='Authorization: Bearer operator-token'

put () {
	try /admin/document -X PUT -H "$auth" "$@"
}

faults_of () {
	curl -s -H "$auth" "http://$(ip 1):8002/admin/validate" \
		--data-binary "$1" | sed 's/},{/},\n{/g'
	echo
}

start_platform
start_instance 1 north-a
expect 'before the first document' try /admin/history -H "$auth" <<\END
503 unavailable not_run retry: no document is in force here: try again later, or commit the first one with the bootstrap token
END
endpoints=$(endpoint orders-1 orders 1 north-a '')
commit_document
wait_for in_force 1 1

expect 'a missing token' try /admin/history <<\END
401 unauthenticated not_run -: no operator has this token; send 'Authorization: Bearer TOKEN'
END
expect 'an unknown token' \
	try /admin/history -H 'Authorization: Bearer nobody' <<\END
401 unauthenticated not_run -: no operator has this token; send 'Authorization: Bearer TOKEN'
END
expect 'the bootstrap token after the first commit' \
	try /admin/history -H 'Authorization: Bearer bootstrap' <<\END
401 unauthenticated not_run -: no operator has this token; send 'Authorization: Bearer TOKEN'
END
expect 'the token of a caller' \
	try /admin/history -H 'Authorization: Bearer clerk-token' <<\END
401 unauthenticated not_run -: no operator has this token; send 'Authorization: Bearer TOKEN'
END
expect 'an unknown path' try /admin/nothing -H "$auth" <<\END
404 not_found not_run -: no such path here; check the path and the port
END
expect 'a path below a known one' try /admin/document/x -H "$auth" <<\END
404 not_found not_run -: no such path here; check the path
END
expect 'a wrong method' try /admin/document -X DELETE -H "$auth" <<\END
400 invalid not_run -: /admin/document does not support this method; use GET or PUT
END
expect 'a wrong method on a path that expects a document' \
	try /admin/validate -H "$auth" <<\END
400 invalid not_run -: /admin/validate does not support this method; use POST
END
expect 'a commit without a generation' \
	put -d @"$work/document.json" <<\END
400 invalid not_run -: send 'If-Match: GENERATION' with the generation that the change was made from; 0 for the first document
END
expect 'a generation that is not a number' \
	put -H 'If-Match: "one"' -d @"$work/document.json" <<\END
400 invalid not_run -: send 'If-Match: GENERATION' with the generation that the change was made from; 0 for the first document
END
expect 'an unknown generation' \
	try '/admin/document?generation=7' -H "$auth" <<\END
404 not_found not_run -: generation 7 can't be read: no such generation is kept; ask for a newer one
END
expect 'a generation in the query that is not a number' \
	try '/admin/diff?generation=x' -H "$auth" -d @"$work/document.json" <<\END
400 invalid not_run -: the query's generation must be a number from 1 up
END
expect 'an invalid trace identifier' try '/admin/trace?trace=x' -H "$auth" <<\END
400 invalid not_run -: the query's trace must be 32 lower-case hexadecimal digits
END
expect 'an unknown page' try /console/nothing <<\END
404 not_found not_run -: no such page; the console is at /console
END
expect 'a header that is too large' try /admin/history -H "$auth" \
	-H "X-Large: $(head -c 40000 /dev/zero | tr '\0' a)" <<\END
413 too_large not_run -: path and headers have more than 32768 bytes; send shorter ones
END
too_large () {
	head -c 9000000 /dev/zero | tr '\0' ' ' |
	put -H 'If-Match: 1' -H 'Expect: 100-continue' \
		--expect100-timeout 30 --data-binary @-
}
expect 'a document that is too large' too_large <<\END
413 too_large not_run -: the body has more than 8388608 bytes; send a shorter one
END
# The request must be refused, and counted, before its body ends.
stranger () {
	{ echo begin; sleep 2; } |
	try /admin/document -H 'Authorization: Bearer nobody' -T -
	status_metrics | grep '^hc_http_refused_bodies_total'
}
status_metrics () {
	curl -s "http://$(ip 1):8005/metrics"
}
expect 'an unauthenticated request is refused before its body ends' stranger <<\END
401 unauthenticated not_run -: no operator has this token; send 'Authorization: Bearer TOKEN'
hc_http_refused_bodies_total 1
END
stale () {
	sed 's/"batch_weight": 0.5/"batch_weight": 0.25/' "$work/document.json" |
	put -H 'If-Match: 0' --data-binary @-
	sed 's/.*},//' "$work/body"
	echo
}
expect 'a stale generation, with the differences' stale <<\END
409 conflict not_run -: another document was accepted meanwhile; look at what differs and commit on the newer generation
"generation":1,"author":"bootstrap","differences":[{"kind":"changed","path":"batch_weight","before":"0.5","after":"0.25"}]}
END
expect 'a commit that is not JSON' put -H 'If-Match: 1' -d '{"format": 1,' <<\END
400 invalid not_run -: the document has faults; correct those listed
END

expect 'a syntax error with its line' faults_of '{
	"format": 1, // the form
	"batch_weight": 0.5
	"regions": {}
}' <<\END
{"valid":false,"count":1,"faults":[{"path":"","line":3,"cause":"<data>:3:20: Parse error: unexpected number `0.500', expected character `,'","remedy":"correct the JSON"}]}
END
expect 'all missing members' faults_of '{}' <<\END
{"valid":false,"count":8,"faults":[{"path":"format","cause":"missing","remedy":"add it"},
{"path":"batch_weight","cause":"missing","remedy":"add it"},
{"path":"regions","cause":"missing","remedy":"add it"},
{"path":"base_models","cause":"missing","remedy":"add it"},
{"path":"services","cause":"missing","remedy":"add it"},
{"path":"endpoints","cause":"missing","remedy":"add it"},
{"path":"callers","cause":"missing","remedy":"add it"},
{"path":"operators","cause":"missing","remedy":"add it"}]}
END
expect 'all invalid members' faults_of '{
	"format": 2,
	"batch_weight": "much",
	"wieght": 1,
	"regions": {"north": ["north-a", "north-a"]},
	"base_models": {"base": {"adapters": [
		"note@1", "note@1", "note", "n-{9..1}@1"]}},
	"services": [
		{"name": "assist", "kind": "engine", "base_model": "bass"},
		{"name": "orders", "kind": "plain", "path": "orders"},
		{"name": "orders", "kind": "odd"}],
	"endpoints": [
		{"id": "e 1", "service": "asist", "address": "host",
		 "port": 0, "region": "south", "failure_domain": "north-z",
		 "concurrent_requests": 0}],
	"callers": [
		{"name": "clerk", "priority": 10, "token_sha256": ["abc"],
		 "adapters": ["nothing-*"], "services": ["desk"]}],
	"operators": [
		{"name": "viewer", "role": "reader", "token_sha256": []}]
}' <<\END
{"valid":false,"count":23,"faults":[{"path":"wieght","cause":"unknown key","remedy":"remove it, or did you mean 'format'?"},
{"path":"format","cause":"2 is out of range","remedy":"give a value from 1 to 1"},
{"path":"batch_weight","cause":"a value of the wrong type","remedy":"give a number"},
{"path":"services[0].weight_store","cause":"missing","remedy":"add it to this service of kind \"engine\""},
{"path":"services[1].path","cause":"'orders' can't be a prefix","remedy":"begin and end it with '/', and keep clear of '/v1/' and '/hc/'"},
{"path":"services[2].kind","cause":"'odd' is no kind","remedy":"give \"engine\" or \"plain\""},
{"path":"services[2].name","cause":"'orders' stands twice","remedy":"keep one of the two"},
{"path":"base_models.base.adapters[2]","cause":"'note' has no version","remedy":"write it as \"name@version\""},
{"path":"base_models.base.adapters[3]","cause":"'n-{9..1}@1': a range that ends before it starts","remedy":"write such as \"name@1,2\" or \"name-{001..250}@1\""},
{"path":"base_models","cause":"'note@1' stands twice","remedy":"keep one of the two"},
{"path":"services[0].base_model","cause":"'bass' is not declared","remedy":"add it to \"base_models\""},
{"path":"endpoints[0].port","cause":"0 is out of range","remedy":"give a value from 1 to 65535"},
{"path":"endpoints[0].concurrent_requests","cause":"0 is out of range","remedy":"give a value from 1 to 1000000"},
{"path":"endpoints[0].id","cause":"'e 1' is not a name","remedy":"use 1 to 100 letters, digits, '.', '_' or '-'"},
{"path":"endpoints[0].address","cause":"'host' is not an IP number","remedy":"give one such as 10.0.0.7"},
{"path":"endpoints[0].region","cause":"'south' is not declared","remedy":"add it to \"regions\""},
{"path":"endpoints[0].service","cause":"'asist' is not declared","remedy":"declare it, or did you mean 'assist'?"},
{"path":"callers[0].priority","cause":"10 is out of range","remedy":"give a value from 0 to 9"},
{"path":"callers[0].token_sha256[0]","cause":"not a SHA-256","remedy":"give 64 lower-case hexadecimal digits"},
{"path":"callers[0].services[0]","cause":"'desk' is not declared","remedy":"declare it, or did you mean 'orders'?"},
{"path":"operators[0].token_sha256","cause":"no token","remedy":"add the SHA-256 of at least one token"},
{"path":"operators[0].role","cause":"'reader' is no role","remedy":"give \"viewer\" or \"editor\""},
{"path":"operators","cause":"no operator may change the document","remedy":"give at least one the role \"editor\""}]}
END
finish
