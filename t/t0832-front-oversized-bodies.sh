#!/bin/sh
# Bodies far over the limit, announced or just sent, with chunk extensions, zeros, trailers and sizes
# at the edges of 64 bits: the instance stays within its memory and answers others.
# Guards against an instance that keeps a body up to the limit before it refuses it, or reads on without end.
. "$(dirname "$0")/lib/crowd.sh"

start_crowded_front
for form in terabyte endless-chunks extensions zeros long-size long-extension trailers edge-chunk \
	over-edge-chunk edge-length over-edge-length
do
	beside 60 "$form"
done
finish
