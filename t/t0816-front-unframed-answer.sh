#!/bin/sh
# An answer with neither a length nor chunks is complete with the end of its
# connection in order; a stream that ends inside an event was broken off, and is
# resumed or reported as broken.
. "$(dirname "$0")/lib/front.sh"

start_models
start raw standin-unframed
for endpoint in desk-1 desk-2
do
	control "$endpoint" state=gone
done
# One process stands for two endpoints, so that a stream can be resumed.
for n in 1 2
do
	echo "{\"service\": \"desk\", \"addr\": \"$(address raw)\", \"zone\": \"a\",
		\"version\": \"v1\", \"slots\": 4, \"state\": \"ready\", \"seq\": 0,
		\"coldLeftMs\": 0, \"born\": $n}" | put_item "servers/raw-$n"
done
write_config 1 'stream /stream/ streaming desk 3000 1
resume /stream-on/ streaming desk 3000 2
read /read/ idempotent desk 1000 1'
start_front 1

# Prints the status, the body, and the exit status of curl: 18 if it was cut off.
get () {
	ask 1 "$1" -s -w '%{http_code}\n' 2>"$work/curl.err"
	echo "$?"
}
events='id: 1
data: one

id: 2
data: two
'
expect 'a text ends with its connection' get /read/whole <<END
all of it
200
0
END
expect 'a reset is no end' get /read/reset <<END
an endpoint did not answer
502
0
END
expect 'a stream ends with its connection' get /stream/whole <<END
$events
200
0
END
expect 'a stream that may not be resumed is cut off' get /stream/cut <<END
id: 1
data: one

id: 2
data: t200
18
END
for how in whole cut reset
do
	expect "a stream that may be resumed is whole ($how)" get "/stream-on/$how" <<END
$events
200
0
END
done
crlf () {
	get "$1" | tr -d '\r'
}
for path in /stream/crlf /stream-on/crlf
do
	expect "lines may end with CRLF ($path)" crlf "$path" <<END
$events
200
0
END
done
finish
