#!/bin/sh
# A stream has begun and breaks off, and the answer at which it is resumed is wrong in one way:
# the caller gets no byte of that answer, and an end that shows that the stream is not complete.
# Guards against a half of a stream that ends as complete, and against an event that comes twice or
# is missing (review/8).
. "$(dirname "$0")/lib/front.sh"

# curl's exit status for an answer that ends before its end.
CURL_PARTIAL=18

start_models --events 6
write_config 1 'resume /resume/ streaming assist 3000 2'
front_settings 1
sed -i 's/"grace_s"/"repeat_slack": 1000, &/' "$work/front1.json"
start_front 1
wait_for is_ready 1

# Number of streams so far that have begun and were sent to two endpoints.
resumptions () {
	grep -c '"event":"request".*"status":"\(0\|200\)".*"sends":"2"' "$work/front1.out"
}
# Sends streams until one is resumed, and prints how that one ended, and its events.
resumed () {
	before=$(resumptions)
	tries=0
	until test "$(resumptions)" -gt "$before"
	do
		tries=$((tries + 1))
		test "$tries" -lt 100 || break
		sleep 0.1
		ask 1 /resume/x -s -X POST -d prompt 2>>"$work/curl.err" -o "$work/body" \
			-D "$work/head"
		ended="$? $(head -n 1 "$work/head" | cut -d' ' -f2)"
	done
	echo "$ended $(grep -v '^$' "$work/body" | sed -n 's/^id: //p' | tr '\n' ' ')"
}
# Both engines start anew, lest the one that failed is avoided.
restart () {
	control engine-1 restart=1
	control engine-2 restart=1
	control engine-1 mode=cut
}
for way in unsigned encoded plain partial again skips
do
	restart
	control engine-2 "resumed=$way"
	expect "a stream that is cut off at engine-1, then '$way'" resumed <<END
$CURL_PARTIAL 200 0 1 
END
	restart
	control engine-2 resumed=sound
	expect 'then sound' resumed <<END
0 200 0 1 2 3 4 5 
END
done
finish
