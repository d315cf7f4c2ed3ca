#!/bin/sh
# Send requests through entry and owner, as separate processes, to an engine:
# streamed, unstreamed and chat completions, and requests that the entry refuses.

. "$(dirname "$0")/lib/instances.sh"

start_one

call () {
	path=$1
	token=$2
	body=$3
	curl -s -m 30 "http://$(ip 1):8000$path" \
		-H "Authorization: Bearer $token" -H 'X-Request-Id: r' \
		-d "$body" | sed 's/"id":"[^"]*"/"id":"ID"/g
			s/"created":[0-9]*/"created":TIME/'
	echo
}

code_of () {
	curl -s -m 30 -o /dev/null -w '%{http_code}\n' \
		"http://$(ip 1):8000$1" -H "Authorization: Bearer $2" -d "$3"
}

prompt='"prompt":"hello","max_tokens":3'

expect 'a streamed completion names the adapter and ends with DONE' \
	call /v1/completions clerk-token \
	"{\"model\":\"note-03@1\",$prompt,\"stream\":true}" <<\END
data: {"id":"ID","object":"text_completion","model":"note-03@1","index":0,"choices":[{"index":0,"text":"c32f ","finish_reason":null}]}

data: {"id":"ID","object":"text_completion","model":"note-03@1","index":1,"choices":[{"index":0,"text":"89b2 ","finish_reason":null}]}

data: {"id":"ID","object":"text_completion","model":"note-03@1","index":2,"choices":[{"index":0,"text":"8adf ","finish_reason":null}]}

data: [DONE]


END

expect 'an unstreamed completion joins the same chunks' \
	call /v1/completions clerk-token "{\"model\":\"note-03@1\",$prompt}" <<\END
{"id":"ID","object":"text_completion","created":TIME,"model":"note-03@1","choices":[{"index":0,"text":"c32f 89b2 8adf ","finish_reason":"stop"}],"usage":{"completion_tokens":3}}
END

expect 'a chat completion has the chat format' \
	call /v1/chat/completions clerk-token '{"model":"note-04@1","max_tokens":2,
	"messages":[{"role":"user","content":"hello"}]}' <<\END
{"id":"ID","object":"chat.completion","created":TIME,"model":"note-04@1","choices":[{"index":0,"message":{"role":"assistant","content":"a3a9 76f6 "},"finish_reason":"stop"}],"usage":{"completion_tokens":2}}
END

expect 'an unknown token is refused' \
	call /v1/completions wrong "{\"model\":\"note-03@1\",$prompt}" <<\END
{"error":{"message":"the bearer token is not known; ask the operators for one","type":"unauthenticated","outcome":"not_run"}}
END

expect 'an unknown adapter is refused' \
	call /v1/completions clerk-token "{\"model\":\"note-99@1\",$prompt}" <<\END
{"error":{"message":"no adapter 'note-99@1'; check its name and version","type":"not_found","outcome":"not_run"}}
END

expect 'an adapter of other callers is refused' \
	call /v1/completions clerk-token "{\"model\":\"other@1\",$prompt}" <<\END
{"error":{"message":"caller 'clerk' may not use adapter 'other@1'; ask the operators","type":"forbidden","outcome":"not_run"}}
END

expect 'refusals have the expected HTTP status' eval '
	code_of /v1/completions wrong "{\"model\":\"note-03@1\",$prompt}"
	code_of /v1/completions clerk-token "{\"model\":\"note-99@1\",$prompt}"
	code_of /v1/completions clerk-token "{\"model\":\"other@1\",$prompt}"
	code_of /v1/completions clerk-token "not json"
	code_of /v1/nothing clerk-token "{}"
	curl -s -o /dev/null -w "%{http_code}\n" "http://$(ip 1):8000/nowhere" \
		-H "Authorization: Bearer clerk-token"' <<\END
401
404
403
400
404
404
END

expect 'the engine saw no adapter unloaded during a request' violations <<\END
"violations":[]
END

# The hops of one request, as hcctl prints them.
trace=0af7651916cd43dd8448eb211c80319c
curl -s -o /dev/null "http://$(ip 1):8000/v1/completions" \
	-H "traceparent: 00-$trace-b7ad6b7169203331-01" \
	-H 'Authorization: Bearer clerk-token' -d "{\"model\":\"note-03@1\",$prompt}"
hops () {
	HCCTL_TOKEN=operator-token "$bin/hcctl" --admin="$(ip 1):8002" \
		trace "$trace" | grep -o 'hc-entry.*request\|hc-owner.*endpoint' |
	tr -s ' ' | cut -d' ' -f1
}
wait_for hops
expect 'a trace has a span for each hop' eval 'hops | sort' <<\END
hc-entry
hc-owner
END

# A request whose caller disconnects must release its place at the engine.
report () {
	curl -s "http://$(address engines)/report" |
	sed 's/.*"running":\([0-9]*\),"waiting":\([0-9]*\).*/\1 \2/'
}

is_report () {
	test "$(report)" = "$1"
}

curl -sN -m 60 "http://$(ip 1):8000/v1/completions" \
	-H 'Authorization: Bearer clerk-token' \
	-d '{"model":"note-03@1","prompt":"x","max_tokens":5000,"stream":true}' \
	>"$work/hangup" 2>&1 &
hangup=$!
wait_for is_report '1 0'
kill "$hangup"
wait_for is_report '0 0'
echo 'ok: a request whose caller disconnects releases its place'

# A planned stop waits for running requests to end.
curl -sN -m 60 "http://$(ip 1):8000/v1/completions" \
	-H 'Authorization: Bearer clerk-token' \
	-d '{"model":"note-03@1","prompt":"x","max_tokens":100,"stream":true}' \
	>"$work/last" 2>&1 &
last=$!
wait_for is_report '1 0'
stop entry1
wait "$last"
expect 'the planned stop of an entry interrupts no stream' \
	eval 'grep -c "^data: {" "$work/last"; tail -n 2 "$work/last"; echo $status' <<\END
100
data: [DONE]

0
END
stop owner1
expect 'an owner exits with status 0 on a planned stop' echo "$status" <<\END
0
END

finish
