#!/bin/sh
# When a caller disconnects, its request must release its place at the engine,
# whether it is streamed or not.
. "$(dirname "$0")/lib/instances.sh"

places=64
start_one --places 64 --step-ms 2

# At 2 ms per token this answer takes 200 s, longer than wait_for waits.
tokens=100000
hang_up () {
	curl -sS --max-time 1 "http://$(ip 1):8000/v1/completions" \
		-H 'Authorization: Bearer clerk-token' -d "{
			\"model\": \"note-01@1\", \"prompt\": \"$1\",
			\"max_tokens\": $tokens, \"stream\": $2
		}" >/dev/null 2>&1
	test $? -eq 28 || fail 'the answer ended before the caller disconnected'
}
running () {
	curl -sS --max-time 10 "http://$(address engines)/report" |
	grep -o '^{[^[]*"running":[0-9]*'
}
is_free () {
	running | grep -q '"running":0$'
}
runs () {
	ledgers | grep -o '"count":1,"finished":0' | wc -l
}

hang_up streamed true
wait_for is_free
hang_up whole false
wait_for is_free
expect 'both requests ran and neither finished' runs <<\END
2
END
finish
