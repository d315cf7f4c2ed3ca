#!/bin/sh
# Check every error of the callers' interface: status, type, outcome, presence of
# Retry-After, and the remedy in its message.  test-parse covers the invalid values
# of each header and body; t0010 covers unknown tokens, unknown adapters and
# adapters of other callers.

. "$(dirname "$0")/lib/instances.sh"

# try PATH [OPTION...]: send a request with curl and print its error on one line
try () {
	path=$1
	shift
	# Calls may run in parallel, so each has its own files.
	head=$(mktemp "$work/head.XXXXXX")
	body_file=$(mktemp "$work/body.XXXXXX")
	curl -s -m 30 -D "$head" -o "$body_file" \
		-w '%{http_code} ' "http://$(ip 1):8000$path" "$@"
	sed 's/.*"message":"\(.*\)","type":"\([a-z_]*\)","outcome":"\([a-z_]*\)".*/\2 \3 RETRY: \1/' \
		"$body_file" | sed "s/RETRY/$(retry_after)/; s/ (<data>.*)//"
	echo
}

retry_after () {
	if grep -qi '^retry-after: [1-9]' "$head"
	then
		echo retry
	else
		echo -
	fi
}

auth='Authorization: Bearer clerk-token'

complete () {
	body=$1
	shift
	try /v1/completions -H "$auth" -d "$body" "$@"
}

good='{"model":"note-03@1","prompt":"hello","max_tokens":3}'

start_platform
start_engines 1
start orders standin-service
start_instance 1 north-a
expect 'before the first document' complete "$good" <<\END
503 unavailable not_run retry: no document is in force yet; come back later
END

callers=',{"name": "limited", "token_sha256": ["'$(sha256 limited-token)'"],
	"adapters": ["*"], "limits": {"requests_per_second": 1}}'
endpoints="$(engine assist-1 "$(port engines)" north-a)
$(endpoint orders-1 orders "$(port orders)" north-a '')"
commit_document
wait_for in_force 1 1
wait_for serves 1

expect 'a missing token' try /v1/completions -d "$good" <<\END
401 unauthenticated not_run -: no bearer token; send the header 'Authorization: Bearer TOKEN' with your caller's token
END
expect 'another authorization scheme' \
	try /v1/completions -u clerk:clerk-token -d "$good" <<\END
401 unauthenticated not_run -: no bearer token; send the header 'Authorization: Bearer TOKEN' with your caller's token
END
expect 'an unknown adapter version' \
	complete '{"model":"note-03@9","prompt":"p"}' <<\END
404 not_found not_run -: no adapter 'note-03@9'; check its name and version
END
expect 'a model without a version' \
	complete '{"model":"note-03","prompt":"p"}' <<\END
400 invalid not_run -: field model must be \"name@version\" of at most 256 characters; name the adapter and its version
END
expect 'a body that is not JSON' complete '{"model":' <<\END
400 invalid not_run -: the body is not JSON; correct it
END
expect 'a body that is not a JSON object' complete '[]' <<\END
400 invalid not_run -: the body must be a JSON object; send the fields model and prompt or messages
END
expect 'a missing prompt' complete '{"model":"note-03@1"}' <<\END
400 invalid not_run -: field prompt must be a text; send one prompt
END
expect 'a deadline that is not a number' \
	complete "$good" -H 'X-Deadline-Ms: soon' <<\END
400 invalid not_run -: header x-deadline-ms must be a whole number from 1 to 3600000; correct or leave out the header
END
expect 'a priority out of range' complete "$good" -H 'X-Priority: 10' <<\END
400 invalid not_run -: header x-priority must be a whole number from 0 to 9; correct or leave out the header
END
expect 'a request identifier that is too long' \
	complete "$good" -H "X-Request-Id: $(head -c 300 /dev/zero | tr '\0' i)" <<\END
400 invalid not_run -: header x-request-id must have 1 to 256 printable characters without spaces; send a shorter, plain value
END
expect 'a flag that is neither true nor false' \
	complete "$good" -H 'X-Non-Idempotent: maybe' <<\END
400 invalid not_run -: header x-non-idempotent must be true or false; correct the header
END
expect 'a non-idempotent request without a key' \
	complete "$good" -H 'X-Non-Idempotent: true' <<\END
400 invalid not_run -: a non-idempotent request needs the header Idempotency-Key; send a key that is the same each time this request is sent
END
expect 'a wrong method' try /v1/completions -H "$auth" <<\END
400 invalid not_run -: /v1/completions takes the method POST only; use POST
END
expect 'an unknown engine path' try /v1/models -H "$auth" <<\END
404 not_found not_run -: no such path; use /v1/completions, /v1/chat/completions or the path of a service
END
expect 'an unknown service path' try /nowhere -H "$auth" <<\END
404 not_found not_run -: no service at '/nowhere' for caller 'clerk'; check the path
END
expect 'a method that services do not accept' \
	try /orders/ -X BREW -H "$auth" <<\END
400 invalid not_run -: this method is not served; use GET, HEAD, POST, PUT, PATCH or DELETE
END
expect 'a header that is too large' \
	complete "$good" -H "X-Large: $(head -c 40000 /dev/zero | tr '\0' a)" <<\END
413 too_large not_run -: path and headers have more than 32768 bytes; send shorter ones
END
too_large () {
	head -c 3000000 /dev/zero | tr '\0' a |
	try /v1/completions -H "$auth" -H 'Expect: 100-continue' \
		--expect100-timeout 30 --data-binary @-
}
expect 'a body that is too large' too_large <<\END
413 too_large not_run -: the body has more than 2097152 bytes; send a shorter one
END

# The request must be refused, and counted, before its body ends.
stranger () {
	{ echo begin; sleep 2; } |
	try /v1/completions -H 'Authorization: Bearer nobody' -T -
	status_metrics | grep '^hc_http_refused_bodies_total'
}
status_metrics () {
	curl -s "http://$(ip 1):8003/metrics"
}
expect 'an unauthenticated request is refused before its body ends' stranger <<\END
401 unauthenticated not_run -: the bearer token is not known; ask the operators for one
hc_http_refused_bodies_total 1
END

# Two requests within one second exceed the limit.  On a slow machine they may be
# further apart, so try several times.
limited () {
	attempt=0
	while test "$attempt" -lt 20
	do
		try /v1/completions -d "$good" \
			-H 'Authorization: Bearer limited-token' >"$work/limited"
		grep '^429' "$work/limited" && return
		attempt=$((attempt + 1))
	done
}
expect 'a request above the rate limit of the caller' limited <<\END
429 overloaded not_run retry: the caller's rate is used up; send more slowly
END

order () {
	key=$1
	shift
	try /orders/new -H "$auth" -H "Idempotency-Key: $key" "$@"
}
control () {
	curl -s -d "$1" "http://$(address orders)/control" >/dev/null
}
expect 'a key that was used for another request' eval '
	order k1 -d one >/dev/null
	order k1 -d two' <<\END
400 invalid not_run -: this Idempotency-Key belongs to a different request; use a new key for a new request
END
control '{"mode":"hang","count":1}'
order k2 -d x -H 'X-Deadline-Ms: 4000' >"$work/hung" &
hung=$!
is_running_there () {
	curl -s "http://$(address orders)/report" | grep -q '"running":1'
}
wait_for is_running_there
expect 'a key whose request still runs at the deadline' \
	order k2 -d x -H 'X-Deadline-Ms: 500' <<\END
409 conflict unknown retry: a request with this Idempotency-Key still runs; ask again with the same key for its answer
END
wait "$hung"
# Either the entry or the owner reports the timeout, with different advice at the
# end of the message.
expect 'a request that was not answered before its deadline' \
	sed 's/; allow more .*/; allow more/' "$work/hung" <<\END
504 timeout unknown -: no whole answer came in the time allowed; allow more
END
control '{"mode":"close","count":1}'
expect 'an answer that was interrupted' order k3 -d x <<\END
502 interrupted unknown -: the answer broke off before its end; ask again with the same key
END
finish
