#!/bin/sh
# Requests of a seeded grammar, most of them malformed, cut off or oversized: the instance lives, stays
# within its settings, and answers others.  SEEDS sets how many seeds are run, SEED runs one.
# Guards against a parser, a limit or a pipeline that an odd sequence of bytes ends or holds up.
. "$(dirname "$0")/lib/crowd.sh"

body_max=65536
head_max=4096
start_crowded_front
first=${SEED:-1}
last=${SEED:-${SEEDS:-5}}
seed=$first
while test "$seed" -le "$last"
do
	"$bin/hc-odd-requests" "$(ip 1):8000" "$seed" 150 >"$work/odd.out" ||
		fail "the requests of seed $seed were not sent"
	check_bounds "seed $seed"
	wait_for is_served
	seed=$((seed + 1))
done
"$bin/hc-odd-requests" "$(ip 1):8001" "$first" 100 >"$work/odd.out" ||
	fail "the requests were not sent to the ready port"
wait_for is_ready 1
check_bounds "the ready port"
echo "ok: $peak KB, $opened descriptors"
finish
