#!/bin/sh
# Late in a planned stop a request that may last longer than the process is refused at once, a
# short one is served, and each one that is left at the end gets an answer.
# Guards against requests that are taken late in the grace and cut at its end.
. "$(dirname "$0")/lib/front.sh"

start_models --events 4
write_config 1
start_front 1
start_front 2
wait_for engines_shared

# The status of a request whose body arrives in 4.4 s, and how the connection ends.
half_read () {
	for part in 1 2 3 4 5 6 7 8 9 10 11
	do
		printf "$part "
		sleep 0.4
	done | ask 1 "$1" -X POST -T - -H 'Expect:' -H 'X-Hawthorncross-Model: base' \
		-D - -o /dev/null 2>>"$work/curl.err" | tr -d '\r' |
	grep -i '^HTTP\|^connection'
}
# Requests of 20 s at most, which get no answer.
write_config 2 "$default_routes
slow /slow/ non_idempotent desk 20000 1
again /again/ idempotent desk 20000 1"
slow_known () {
	test "$(ask 1 /slow/x -o /dev/null -w '%{http_code}')" = 200
}
wait_for slow_known
control desk-1 mode=hang
control desk-2 mode=hang
for path in slow again
do
	deadline=20000
	ask 1 "/$path/x" --max-time 20 -o /dev/null -w '%{http_code}\n' >"$work/$path" 2>>"$work/curl.err" &
	eval "$path=$!"
done
deadline=5000
sleep 0.5
control desk-1 mode=ok
control desk-2 mode=ok
before=$(total runs engine-1 engine-2)
half_read /stream/x >"$work/late-long" &
long=$!
half_read /write/x >"$work/late-short" &
short=$!
sleep 0.2
signal_to front1 TERM
wait "$long" "$short"
expect 'a request that may last too long is refused' cat "$work/late-long" <<\END
HTTP/1.1 503 Service Unavailable
Connection: close
END
test "$(total runs engine-1 engine-2)" = "$before" || fail 'the refused request has run'
expect 'a short one is served' cat "$work/late-short" <<\END
HTTP/1.1 200 OK
Connection: close
END
wait "$slow" "$again"
expect 'what is left at the end gets an answer' cat "$work/slow" "$work/again" <<\END
502
502
END
reap front1
test "$status" = 0 || fail "exit status $status"
finish
