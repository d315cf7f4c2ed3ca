#!/bin/sh
# Bodies within the limit, each one byte short of its end and left open, in large chunks, in chunks
# of one byte and with an announced length: the instance stays within its memory.
# Guards against an instance that keeps what many callers have sent until it is out of memory.
. "$(dirname "$0")/lib/crowd.sh"

start_crowded_front
for form in large-chunks tiny-chunks announced
do
	beside 60 "$form" "$body_max"
done
finish
