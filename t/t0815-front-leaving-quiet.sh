#!/bin/sh
# An endpoint that says in an answer that it is leaving, or that asks for quiet with
# Retry-After, gets no further request; the caller is refused at once, and told when
# to come back, while all endpoints of a service ask for quiet.
. "$(dirname "$0")/lib/front.sh"

start_models
write_config 1
start_front 1
start_front 2

# Twelve requests, some of them at the same time.
many () {
	for round in 1 2 3
	do
		asking=
		for n in 1 2 3 4
		do
			ask 1 "$1" -o /dev/null -w '%{http_code}\n' &
			asking="$asking $!"
		done
		wait $asking
	done | sort | uniq -c | tr -s ' '
}
runs_of () {
	total runs "$1"
}

control desk-1 leaving=1
# Until it has said so in an answer.
said () {
	ask 1 /read/x -o /dev/null
	grep -q '"event":"endpoint says it is leaving","endpoint":"desk-1-1"' \
		"$work/front1.out"
}
wait_for said
before=$(runs_of desk-1)
expect 'all requests are served' many /read/x <<\END
 12 200
END
test "$(runs_of desk-1)" = "$before" ||
	fail 'a leaving endpoint got a request'
# Nor from another instance, which has only heard of it.
heard () {
	grep -q '"event":"peer reports a leaving endpoint","endpoint":"desk-1-1"' \
		"$work/front2.out"
}
wait_for heard
through_other () {
	for n in 1 2 3 4 5 6 7 8
	do
		ask 2 /read/x -o /dev/null -w '%{http_code}\n'
	done | sort | uniq -c | tr -s ' '
}
expect 'the other instance serves them' through_other <<\END
 8 200
END
test "$(runs_of desk-1)" = "$before" ||
	fail 'a leaving endpoint got a request from another instance'
# The store still lists it as ready.
control desk-1 state=ready
sleep 1
expect 'all requests are served after a heartbeat' many /read/x <<\END
 12 200
END
test "$(runs_of desk-1)" = "$before" ||
	fail 'a leaving endpoint got a request after its heartbeat'
control desk-1 restart=1
back () {
	ask 1 /read/x -o /dev/null
	test "$(runs_of desk-1)" -gt "$before"
}
wait_for back

# Quiet: the other endpoint serves.
control desk-1 'mode=full&quiet=2'
asked () {
	ask 1 /read/x -o /dev/null
	grep -q '"event":"endpoint asks for quiet","endpoint":"desk-1-2","ms":"2000"' \
		"$work/front1.out"
}
wait_for asked
control desk-1 mode=ok
before=$(runs_of desk-1)
expect 'the other endpoint serves' many /read/x <<\END
 12 200
END
test "$(runs_of desk-1)" = "$before" ||
	fail 'an endpoint that asked for quiet got a request'
sleep 2
wait_for back

# All ask for quiet: refused at once, with the shortest of the times.
control desk-1 'mode=full&quiet=30'
control desk-2 'mode=full&quiet=20'
refused () {
	test "$(ask 1 /read/x -o /dev/null -D "$work/head" -w '%{http_code}')" = 503 &&
		grep -q 'all endpoints asked for quiet' "$work/front1.out"
}
wait_for refused
ask 1 /read/x -o /dev/null -D "$work/head" -w '%{time_total}\n' >"$work/time"
after=$(sed -n 's/^[Rr]etry-[Aa]fter: \([0-9]*\).*/\1/p' "$work/head")
test "$after" -ge 15 && test "$after" -le 31 ||
	fail "told to come back in $after s, not in 20 to 30"
awk '{ exit $1 > 0.1 }' "$work/time" || fail 'the refusal took long'
expect 'nothing ran twice' total twice desk-1 desk-2 <<\END
0
END
finish
