#!/bin/sh
# Requests through hc-front: routing, request kinds, streams, refusals.
. "$(dirname "$0")/lib/front.sh"

start_models
write_config 1
start_front 1

code () {
	ask "$@" -o /dev/null -w '%{http_code}\n'
}
body () {
	ask "$@"
}

expect 'a plain request goes to its service, path and query unchanged' \
	body 1 '/read/a%2fb?x=1&y=%20' <<\END
GET /read/a%2fb?x=1&y=%20 0
END
expect 'a body is forwarded' body 1 /write/x -X POST -d 0123456789 <<\END
POST /write/x 10
END
expect 'a chunked body is forwarded' body 1 /write/x -X POST \
	-H 'Transfer-Encoding: chunked' -d 0123456789 <<\END
POST /write/x 10
END
expect 'the endpoint signs the answer' eval \
	'ask 1 /read/x -D - -o /dev/null | grep -ci server-stamp' <<\END
1
END
expect 'no route is 404' code 1 /other/ <<\END
404
END
host=other.example expect 'another host has no routes' code 1 /read/x <<\END
404
END
expect 'a body above the limit is refused' eval \
	'head -c 70000 /dev/zero | code 1 /write/x -X POST --data-binary @- -H Expect:' \
	<<\END
413
END
expect 'a head above the limit is refused' code 1 /read/x \
	-H "X-Long: $(head -c 5000 /dev/zero | tr '\0' a)" <<\END
431
END
expect 'bytes that are not HTTP are refused' eval \
	'printf "NONSENSE\r\n\r\n" | curl -s --max-time 2 telnet://$(ip 1):8000 |
	head -n 1 | tr -d "\r"' <<\END
HTTP/1.1 400 Bad Request
END

# Wait until the engine is held and the adapter is resident.
stream () {
	adapter 1 a1
}
wait_for eval 'test "$(adapter 1 a1 -o /dev/null -w "%{http_code}")" = 200'
expect 'a stream is complete and in order' stream <<\END
id: 0
data: piece 0

id: 1
data: piece 1

id: 2
data: piece 2

id: 3
data: piece 3

id: 4
data: piece 4

END

# More adapters than slots: some have to be unloaded.
all_served () {
	for n in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16
	do
		adapter 1 "a$n" -o /dev/null -w '%{http_code}\n'
	done | sort | uniq -c | tr -s ' '
}
expect 'adapters are brought and make room' all_served <<\END
 16 200
END
expect 'no order broke a rule, and nothing ran twice' eval \
	'total broken engine-1 engine-2; total twice engine-1 engine-2 desk-1 desk-2' \
	<<\END
0
0
END
expect 'metrics are served' eval \
	'curl -s "http://$(ip 1):8001/metrics" | grep -c "^hc_requests_total"' <<\END
1
END

# The address published to the other instances is checked at the start.
front_settings 3
sed -i 's/"peer_address": ".*"/"peer_address": "nowhere"/' "$work/front3.json"
wrong_start () {
	"$bin/hc-front" --settings "$work/front3.json" 2>&1 </dev/null
	echo "status $?"
}
expect 'an invalid peer address is refused' wrong_start <<\END
hc-front: 'nowhere' is no address; write it as IP:PORT
status 1
END

# An instance that starts while the store is down has no configuration.
control store mode=refuse
front_settings 2
start front2 hc-front --settings "$work/front2.json"
wait_for grep -q '"event":"items not read; tried again","error":"the store' \
	"$work/front2.out"
expect 'before the first configuration a request is 503' code 2 /read/x <<\END
503
END
control store mode=up
wait_for is_ready 2
expect 'the reason is logged once' \
	grep -c 'items not read' "$work/front2.out" <<\END
1
END
finish
