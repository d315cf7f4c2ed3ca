#!/bin/sh
# The owner of an engine that ignores fencing numbers is frozen, killed and restarted
# at the same address.  Only the restart proves to its successor that the former
# process has exited, and ends the grace period.

. "$(dirname "$0")/lib/instances.sh"

start_platform
start_engines 2
start_instance 1 north-a
start_instance 2 north-b
endpoints="$(engine assist-1 "$(port engines 1)" north-a)
$(engine assist-2 "$(port engines 2)" north-b)"
commit_document
wait_for in_force 1 1 2
wait_for serves 1
wait_for serves 2

owned () {
	status_of "$1" 8004 | grep -q "\"endpoints\":$2,"
}
wait_for owned 1 1

proofs () {
	curl -s -m 5 "http://$(ip 2):8004/metrics" |
	sed -n 's/^hc_ownership_predecessor_stopped_total //p'
}
freeze owner1
wait_for owned 2 2
wait_for serves 2
expect 'a frozen owner does not count as stopped' proofs </dev/null
kill_now owner1
sleep 6
expect 'a killed owner that has not restarted does not count as stopped' proofs </dev/null
start owner1 hc-owner --settings "$work/i1.json"
proved () {
	test "$(proofs)" = 1
}
wait_for proved
echo 'ok: the restarted owner proves that its former process has exited'
wait_for serves 1
expect 'no adapter was unloaded during a request' violations <<\END
"violations":[]
END
finish
