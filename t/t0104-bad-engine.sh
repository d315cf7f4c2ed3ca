#!/bin/sh
# An engine sends malformed or oversized messages.  Each request must be answered
# completely by a retry or get a typed error; no answer with a missing part may look
# complete, and other requests must continue.

. "$(dirname "$0")/lib/instances.sh"

start_platform
start_engines 2 --slots 2
start_instance 1 north-a
endpoints="$(engine assist-1 "$(port engines 1)" north-a)
$(engine assist-2 "$(port engines 2)" north-a)"
commit_document
wait_for in_force 1 1
wait_for serves 1

request='{"model":"note-01@1","prompt":"p","max_tokens":6'
whole () {
	ask 1 clerk-token "$request}" "$@"
}
stream () {
	ask 1 clerk-token "$request,\"stream\":true}" -N "$@"
}
text_of () {
	grep -o '"text":"[^"]*"' | cut -d'"' -f4 | tr -d '\n'
}
control () {
	for n in 1 2
	do
		curl -s -d "$1" "http://$(address engines "$n")/control" \
			>/dev/null
	done
}
whole >"$work/right"
right=$(text_of <"$work/right")
test -n "$right" || fail "no answer: $(cat "$work/right")"

for fault in garbled large
do
	control "{\"${fault}_tokens\":1}"
	expect "one $fault chunk: the unstreamed answer is correct" \
		eval 'whole | text_of; echo' <<-END
	$right
	END
	control "{\"${fault}_tokens\":0}"
	control "{\"${fault}_tokens\":1}"
	expect "one $fault chunk: the streamed answer is correct" \
		eval 'stream | text_of; echo' <<-END
	$right
	END
	control "{\"${fault}_tokens\":1000}"
	expect "all chunks $fault: a typed error" eval 'whole -w "\n%{http_code}\n" |
		grep -o "\"type\":\"[a-z_]*\",\"outcome\":\"[a-z_]*\"\|^[0-9]*$"' <<-END
	"type":"protocol","outcome":"unknown"
	502
	END
	stream >"$work/broken" 2>&1
	expect "all chunks $fault: the stream does not look complete" \
		grep -c 'DONE' "$work/broken" <<-END
	0
	END
	control "{\"${fault}_tokens\":0}"
	expect "no chunk $fault: the answer is correct again" eval 'whole | text_of; echo' <<-END
	$right
	END
done

control '{"garbled_reports":20}'
expect 'malformed reports do not affect requests' \
	eval 'whole | text_of; echo' <<END
$right
END
counted () {
	curl -s "http://$(ip 1):8004/metrics" |
	grep -q '^hc_owner_malformed_answers_total [1-9]'
}
wait_for counted
finish
