#!/bin/sh
# A change is in force in time on every instance although its connections to the
# store and to the other instances went silent without a reset.
. "$(dirname "$0")/lib/front.sh"

# Memory that was freed is overwritten, so that its use does not go unnoticed.
MALLOC_PERTURB_=85
GLIBC_TUNABLES=glibc.malloc.tcache_count=0
export MALLOC_PERTURB_ GLIBC_TUNABLES

start_models
instances='1 2 3'
start_links
write_config 1
for n in $instances
do
	start_front "$n"
done

# Until nothing changes any more and polls wait.
sleep 3

# By 1 s after the silence an instance has to have noticed; after that a change
# takes 2 s at most.
expect_change_after_kill () {
	for n in $instances
	do
		link "store$n" "kill=$1"
		link "peer$n" kill=all
	done
	sleep 1
	write_config "$2" "$default_routes
new$2 /new$2/ idempotent desk 1000 1"
	sleep 2
	for n in $instances
	do
		test "$(ask "$n" "/new$2/x" -o /dev/null -w '%{http_code}')" = 200 ||
			fail "instance $n does not have version $2"
	done
}
# Leases are renewed on other connections: only the poll itself can notice.
expect_change_after_kill waiting 2
expect_change_after_kill all 3
# Longer than connections are kept idle: what belonged to the first ones is gone.
sleep 9
expect_change_after_kill all 4
sleep 9
expect_change_after_kill all 5
finish
