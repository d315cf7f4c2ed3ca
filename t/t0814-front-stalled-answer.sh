#!/bin/sh
# An attempt that times out half way through its answer leaves nothing of it for the
# caller, who gets the answer of the next endpoint alone.
. "$(dirname "$0")/lib/front.sh"

start_models
# The goal is 200 ms, so that an attempt times out after 400 ms.
write_config 1
start_front 1

get () {
	ask 1 /read/x -w '%{http_code}\n'
}
expect 'an answer' get <<\END
GET /read/x 0
200
END
stalled () {
	for stalling in desk-1 desk-2
	do
		control "$stalling" mode=stall
		get
		get
		control "$stalling" mode=ok
		# Until the endpoint is chosen again after its failures.
		sleep 1
	done
}
expect 'only the whole answer' stalled <<\END
GET /read/x 0
200
GET /read/x 0
200
GET /read/x 0
200
GET /read/x 0
200
END
stalled_runs () {
	test "$(total runs desk-1 desk-2)" -gt 5
}
stalled_runs || fail 'no attempt met the stalled endpoint'

# A stream that stops inside its first event.
control engine-1 mode=stall
control engine-2 mode=stall
ask 1 /resume/x -X POST -d prompt -H 'X-Hawthorncross-Model: base' \
	-o "$work/stream" -w '%{http_code}\n' >"$work/code" &
asking=$!
sleep 0.15
control engine-1 mode=ok
control engine-2 mode=ok
wait "$asking"
grep -q half "$work/stream" && fail 'the caller got half of an event'
finish
