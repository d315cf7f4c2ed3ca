#!/bin/sh
# A body of the largest size is served in calm by the smallest machine, in chunks of one byte and at
# a moderate rate; two at a time.
# Guards against limits on memory, progress and framing that callers within the limits meet.
. "$(dirname "$0")/lib/crowd.sh"

memory_mb=120
start_crowded_front
whole () {
	"$bin/hc-crowd" "$(ip 1):8000" 2 "$1" "$body_max"
}
for form in whole-tiny-chunks whole-slow
do
	expect "$form" whole "$form" <<\END
HTTP/1.1 200 OK
HTTP/1.1 200 OK
END
done
check_bounds "bodies within the limits"
finish
