#!/bin/sh
# The planned stop of hc-front, its settings, and its command line.
. "$(dirname "$0")/lib/front.sh"

start_models --events 100 --event-ms 20
write_config 1
start_front 1
is_served () {
	test "$(adapter 1 a1 -o /dev/null -w '%{http_code}')" = 200
}
wait_for is_served

# A stream is completed during the stop; the instance is not ready at once.
adapter 1 a1 >"$work/stream" &
stream=$!
wait_for grep -q piece "$work/stream"
signal_to front1 TERM
not_ready () {
	! is_ready 1
}
wait_for not_ready
expect 'a request during the stop is served, and its connection closed' eval \
	'ask 1 /read/x -D - -o /dev/null | tr -d "\r" |
	grep -i "^HTTP\|^connection"' <<\END
HTTP/1.1 200 OK
Connection: close
END
wait "$stream" || fail 'the stream was cut'
expect 'the stream is whole' grep -c '^data' "$work/stream" <<\END
100
END
reap front1
test "$status" = 0 || fail "exit status $status"
grep -q '"stopped","reason":"done"' "$work/front1.out" ||
	fail 'the stop was not completed'
engines_released () {
	curl -s "http://$(model store)/kv-range?prefix=hc/engine/" |
	grep -o '"value":"[^"]*"' | cut -d'"' -f4 |
	while read -r value
	do
		echo "$value" | base64 -d
		echo
	done | grep -c '"holder":""'
}
expect 'the engines were released' engines_released <<\END
2
END

# Invalid settings are refused at a reload, valid ones are read.
start_front 1
sed 's/"grace_s": 6/"grace_s": "six"/' "$work/front1.json" >"$work/wrong"
cp "$work/front1.json" "$work/right"
cp "$work/wrong" "$work/front1.json"
signal_to front1 HUP
wait_for grep -q "settings refused.*'grace_s' must be a number" \
	"$work/front1.out"
is_ready 1 || fail 'not ready after invalid settings'
cp "$work/right" "$work/front1.json"
wait_for grep -q 'settings read' "$work/front1.out"
check () {
	"$bin/hc-front" --settings "$1" --check 2>&1 |
	sed "s|$work/||g"
}
expect 'an invalid setting ends the start and is named' check "$work/wrong" <<\END
hc-front: wrong: setting 'grace_s' must be a number
END
expect 'valid settings pass' check "$work/right" <<\END
END
stop front1
test "$status" = 0 || fail "exit status $status"
finish
