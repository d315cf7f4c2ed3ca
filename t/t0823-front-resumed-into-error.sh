#!/bin/sh
# A stream has begun and breaks off, and the next endpoint answers with an error: the caller
# gets no byte of it, and an end that shows that the stream is not complete.
# Guards against an error's text, or its head, inside a stream, and an end in order.
. "$(dirname "$0")/lib/front.sh"

# curl's exit status for an answer that ends before its end.
CURL_PARTIAL=18

start_models --events 6
write_config 1 'resume /resume/ streaming assist 3000 2
stream /stream/ streaming assist 3000 1'
front_settings 1
sed -i 's/"grace_s"/"repeat_slack": 1000, &/' "$work/front1.json"
start_front 1
wait_for is_ready 1

# Sends streams until each engine was the first of some; prints the outcomes, and what is
# neither an event nor an empty line.
resumed () {
	for n in 1 2 3 4 5 6 7 8
	do
		ask 1 "$1" -s -X POST -d prompt 2>>"$work/curl.err" -o "$work/body" -D "$work/head"
		echo "$? $(head -n 1 "$work/head" | cut -d' ' -f2)"
		grep -v -E '^(id: [0-9]+|data: piece [0-9]+|)$' "$work/body"
		# Events come once and in their order.
		sed -n 's/^id: //p' "$work/body" | awk '$1 != NR - 1 { print "event", $0 }'
		sleep 0.3
	done | sort | uniq -c | tr -s ' '
}
for mode in errors full endless
do
	for cut in 1 2
	do
		control "engine-$cut" mode=cut
		control "engine-$((3 - cut))" "mode=$mode"
		resumed /resume/x >"$work/$mode$cut.out"
		# Those that the failing engine got first have not begun.
		grep -v -E '^ [0-9]+ 0 50[0-9]$' "$work/$mode$cut.out" >"$work/begun.out"
		expect "streams cut off at engine-$cut, then '$mode'" \
			sed 's/^ [0-9]* //' "$work/begun.out" <<END
$CURL_PARTIAL 200
END
	done
done
# One that must not be resumed is cut off where it broke.
control engine-1 mode=cut
control engine-2 mode=cut
resumed /stream/x >"$work/alone.out"
expect 'a stream that may not be resumed' sed 's/^ [0-9]* //' "$work/alone.out" <<END
$CURL_PARTIAL 200
END
finish
