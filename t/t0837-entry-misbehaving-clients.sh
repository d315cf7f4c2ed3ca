#!/bin/sh
# Bodies without a token that are left open, announced far over the limit, or sent without end, at the
# ports of hc-entry and hc-admin: both live, stay within their memory and answer others.
# Guards against bodies that are buffered before their sender is known.
. "$(dirname "$0")/lib/crowd_entry.sh"

start_crowded_one
for port in 8000 8002
do
	crowd_at "$port" 60 large-chunks 4194304
	crowd_at "$port" 60 terabyte
	crowd_at "$port" 60 endless-chunks
done
finish
