#!/bin/sh
# Pipelined requests whose answers are never read, heads of many fields that do not end, heads a byte
# at a time, and connections that are opened and left: memory and descriptors stay in bounds.
# Guards against an instance that keeps heads without a limit for all callers together, or whose
# connections are all taken by callers that send nothing.
. "$(dirname "$0")/lib/crowd.sh"

start_crowded_front
beside 60 unread
beside 280 fields
beside 60 dripped-heads
beside 400 silent
finish
