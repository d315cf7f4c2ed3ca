#!/bin/sh
# hc-front with endpoints that fail, refuse, leave and restart.
. "$(dirname "$0")/lib/front.sh"

start_models --events 30
write_config 1
start_front 1

code () {
	ask "$@" -o /dev/null -w '%{http_code}\n'
}
is_served () {
	test "$(adapter 1 a1 -o /dev/null -w '%{http_code}')" = 200
}
wait_for is_served

# Only an idempotent request is retried at the other endpoint.
control desk-1 mode=errors
control desk-2 mode=ok
reads () {
	for n in 1 2 3 4 5 6
	do
		code 1 /read/x
	done | sort | uniq -c | tr -s ' '
}
expect 'reads are retried at another endpoint' reads <<\END
 6 200
END
control desk-2 mode=errors
expect 'a failed write is answered with its failure' code 1 /write/x -X POST -d 1 <<\END
500
END
expect 'no write ran twice' total twice desk-1 desk-2 <<\END
0
END

# Full endpoints: the request is refused with Retry-After, and never runs.
control desk-1 mode=full
control desk-2 mode=full
runs=$(total runs desk-1 desk-2)
refusal () {
	ask 1 /write/x -X POST -d 1 -D - -o /dev/null |
	tr -d '\r' | sed -n 's/^HTTP.1.1 \([0-9]*\).*/\1/p
		s/^[Rr]etry-[Aa]fter: [0-9.]*$/with a time/p'
}
expect 'a full service refuses' refusal <<\END
503
with a time
END
test "$(total runs desk-1 desk-2)" = "$runs" || fail 'a refused request ran'
control desk-1 mode=ok
control desk-2 mode=ok

# Endpoints that don't answer: reads are retried; a write may have run, so it is
# answered with 504 at the timeout of its route.
control desk-1 mode=hang
control desk-2 mode=hang
expect 'a write without an answer is no refusal' code 1 /write/x -X POST -d 1 \
	<<\END
504
END
control desk-2 mode=ok
wait_for eval 'test "$(code 1 /read/x)" = 200'
control desk-1 mode=ok

# An error whose body never ends is cut off, and neither kept nor waited for.
control desk-1 mode=endless
control desk-2 mode=endless
expect 'an endless error ends before the timeout' code 1 /write/x -X POST -d 1 \
	<<\END
502
END
control desk-2 mode=ok
wait_for eval 'test "$(code 1 /read/x)" = 200'
control desk-1 mode=ok

# The model of an engine, resumed after the last event, sends no further one.
after_last () {
	curl -sS --max-time 5 -X POST -H 'Last-Event-Id: 29' \
		-H 'X-Hawthorncross-Request-Id: after-last' \
		-w '%{http_code}\n' "http://$(model engine-1)/resume/x"
}
expect 'nothing follows the last piece' after_last <<\END
200
END

# A broken stream: a resumable one is continued at another endpoint.
path_of_stream=/resume/
wait_for is_served
control engine-1 mode=cut
control engine-2 mode=ok
pieces () {
	adapter 1 a1 | grep -c '^data: piece'
}
expect 'a resumable stream is complete' pieces <<\END
30
END
expect 'its pieces are in order' eval \
	'adapter 1 a1 | sed -n "s/^data: piece //p" | sort -n -c && echo yes' <<\END
yes
END
expect 'the log has the reason of the retry' eval \
	'grep "\"route\":\"resume\".*\"sends\":\"2\"" "$work/front1.out" |
	sed "s/.*\"why\":\"\([^\"]*\)\".*/\1/" | sort -u' <<\END
the bytes are no HTTP/1 message: invalid character in chunk size header
END
control engine-2 mode=cut
path_of_stream=/stream/
looks_whole () {
	adapter 1 a1 -o /dev/null 2>/dev/null && echo whole || echo broken
}
expect 'a stream that is cut off does not look complete' looks_whole <<\END
broken
END
control engine-1 mode=ok
control engine-2 mode=ok

# The run ends when its caller disconnects.
path_of_stream=/stream/
adapter 1 a1 --max-time 0.3 >/dev/null 2>&1
nothing_runs () {
	test "$(total running engine-1 engine-2)" = 0
}
wait_for nothing_runs

# A leaving endpoint gets no new requests once it is listed as such.
control desk-1 state=draining
sleep 1
runs=$(total runs desk-1)
for n in 1 2 3 4
do
	code 1 /read/x
done >/dev/null
expect 'a leaving endpoint gets no new work' eval \
	'echo $(($(total runs desk-1) - runs))' <<\END
0
END
control desk-1 state=ready

# Engines that carry out orders late, and engines that restart.
control engine-1 late=2
control engine-2 late=2
all_served () {
	for n in 21 22 23 24 25 26 27 28
	do
		adapter 1 "a$n" -o /dev/null -w '%{http_code}\n'
	done | sort | uniq -c | tr -s ' '
}
expect 'all requests are served despite late orders' all_served <<\END
 8 200
END
control engine-1 restart=1
control engine-2 restart=1
wait_for is_served
expect 'no order broke a rule' total broken engine-1 engine-2 <<\END
0
END
expect 'nothing ran twice' total twice engine-1 engine-2 desk-1 desk-2 <<\END
0
END

# The log has the reason of each failure.
wait_for grep -q '"outcome":"refused".*"why":"endpoint full"' "$work/front1.out"
wait_for grep -q '"outcome":"failed".*"why":"route timeout"' "$work/front1.out"
finish
