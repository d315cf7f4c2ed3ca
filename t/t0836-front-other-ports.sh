#!/bin/sh
# Connections that are opened at the ready port and at the port for other instances, and left: the
# descriptors stay in bounds, the instance stays ready and serves.
# Guards against an instance that is taken out of rotation, or runs out of descriptors for
# endpoints and the store, by connections that carry nothing.
. "$(dirname "$0")/lib/crowd.sh"

descriptors=1000
start_crowded_front
beside_port () {
	start_many 0 crowd hc-crowd "$(ip 1):$1" "$2" "$3"
	wait_for is_settled
	check_bounds "$3 at port $1"
	wait_for is_ready 1
	wait_for is_served
	kill_now crowd
	check_bounds "$3 at port $1"
	echo "ok: $3 at port $1: $peak KB, $opened descriptors"
}
for form in silent dripped-heads terabyte endless-chunks
do
	beside_port 8001 1100 "$form"
done
beside_port 8002 1100 silent
beside_port 8002 200 terabyte
finish
