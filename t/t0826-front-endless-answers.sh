#!/bin/sh
# Answers without end, in a body, a head or interim responses, use a bounded amount of memory and
# leave time for other requests, whether their callers read fast or slowly.
# Guards against an instance that keeps what callers have not read yet, or serves nobody else.
. "$(dirname "$0")/lib/front.sh"

# As the smallest instance has.
memory_kb_max=160000
# What an address sanitizer keeps of freed memory is not the program's.
ASAN_OPTIONS=${ASAN_OPTIONS:+$ASAN_OPTIONS:}quarantine_size_mb=1
export ASAN_OPTIONS

start_models --events 2
start raw standin-unframed
for endpoint in desk-1 desk-2
do
	control "$endpoint" state=gone
done
echo "{\"service\": \"desk\", \"addr\": \"$(address raw)\", \"zone\": \"a\",
	\"version\": \"v1\", \"slots\": 64, \"state\": \"ready\", \"seq\": 0,
	\"coldLeftMs\": 0, \"born\": 1}" | put_item servers/raw-1
write_config 1 'stream /stream/ streaming assist 3000 1
feed /feed/ streaming desk 5000 1
read /read/ idempotent desk 5000 1'
start_front 1

sound () {
	ask 1 /stream/x -X POST -d prompt -H 'X-Hawthorncross-Model: base' --max-time 2 \
		-H 'X-Hawthorncross-Token-Count: 100,20' -o /dev/null \
		-w '%{http_code} ' 2>>"$work/curl.err"
}
served () {
	test "$(sound)" = "200 "
}
wait_for served

# 20 callers of PATH, which read as curl's further options say, and sound requests beside them.
beside () {
	route=$1
	shift
	callers=
	for n in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20
	do
		ask 1 "$route" --max-time 4 -o /dev/null "$@" 2>>"$work/curl.err" &
		callers="$callers $!"
	done
	sleep 0.5
	for n in 1 2 3 4 5
	do
		sound
		sleep 0.2
	done
	wait $callers
	echo
}
for how in /read/endless /read/endless-chunks /feed/endless /feed/endless-chunks \
	/read/endless-head /read/endless-interim
do
	expect "sound requests beside $how" beside "$how" <<\END
200 200 200 200 200 
END
done
for how in /read/endless /feed/endless-chunks
do
	expect "sound requests beside $how, read slowly" beside "$how" --limit-rate 100k <<\END
200 200 200 200 200 
END
done
peak=$(awk '$1 == "VmHWM:" { print $2 }' "/proc/$(pid front1)/status")
test "$peak" -le "$memory_kb_max" ||
	fail "the instance used $peak KB of memory, more than $memory_kb_max"
finish
