#!/bin/sh
# Connections that are opened at the ports of hc-entry and hc-admin and left: descriptors stay in bounds
# and others are answered.
# Guards against programs that can reach neither the store nor owners for lack of descriptors.
. "$(dirname "$0")/lib/crowd_entry.sh"

start_crowded_one
for port in 8000 8002
do
	crowd_at "$port" 400 silent
	crowd_at "$port" 400 dripped-heads
done
finish
