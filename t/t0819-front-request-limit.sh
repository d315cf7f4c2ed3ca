#!/bin/sh
# An endpoint that names a limit of requests gets no more from all instances together.
# Guards against instances that ignore the limit, or that each keep it by themselves.
. "$(dirname "$0")/lib/front.sh"

LIMIT=2
# Half as much again as the limit allows in the 4 s that the stand-in counts, and 5.
ALLOWED=17
LOAD_S=8

start_models
write_config 1
for n in 1 2 3
do
	start_front "$n"
done
engines_held () {
	test $(($(held 1) + $(held 2) + $(held 3))) = 2
}
wait_for engines_held

# Some ten requests a second through each instance; prints how many had which status.
load_through () {
	end=$(($(date +%s) + LOAD_S))
	n=0
	while test "$(date +%s)" -lt "$end"
	do
		n=$((n + 1))
		"$2" "$1" "$n" -o "$work/body$1" -w '%{http_code}\n'
		sleep 0.07
	done
}
load () {
	for instance in 1 2 3
	do
		load_through "$instance" "$1" >"$work/status$instance" &
		loads="$loads $!"
	done
	wait $loads
	loads=
	sort "$work"/status[123] | uniq -c | tr -s ' '
}
loads=
read_desk () {
	to=$1
	shift 2
	ask "$to" /read/x "$@"
}
# Adapters that take turns, more than one engine has slots for.
stream () {
	to=$1
	n=$2
	shift 2
	adapter "$to" "a$((n % 6))" "$@"
}
within_limit () {
	most=$(total busiest "$1")
	test "$most" -le "$ALLOWED" ||
		fail "$1 got $most requests in 4 s, with a limit of $LIMIT a second"
	test "$most" -gt 0 || fail "$1 got no request at all"
}

# Engines are asked for reports although nothing happens there, limited or not.
asked_again () {
	test "$(total reports engine-1)" -gt "$reports_1" &&
		test "$(total reports engine-2)" -gt "$reports_2"
}
control engine-1 "limit=$LIMIT"
sleep 3
reports_1=$(total reports engine-1)
reports_2=$(total reports engine-2)
within_seconds 12 asked_again
control engine-1 limit=

# One endpoint of two: callers are served by the other.
control desk-1 "limit=$LIMIT"
load read_desk >"$work/desk.out"
within_limit desk-1
expect 'callers are served elsewhere' cut -d' ' -f3 "$work/desk.out" <<\END
200
END

# An engine that gets no request tells its holder in a report, and the holder the others.
control engine-2 "limit=$LIMIT"
told () {
	test "$(grep -l '"event":"endpoint names a request limit","endpoint":"engine-2-1"' \
		"$work"/front[123].out | wc -l)" = 3
}
wait_for told
control engine-2 limit=
over () {
	test "$(grep -l '"event":"endpoint names no request limit any more","endpoint":"engine-2-1"' \
		"$work"/front[123].out | wc -l)" = 3
}
wait_for over

# An engine: the orders and reports of its holder count as well.
control engine-1 "limit=$LIMIT"
load stream >"$work/stream.out"
within_limit engine-1

# All endpoints of a service: what they can't take is refused with a time.
control desk-2 "limit=$LIMIT"
load read_desk >"$work/desks.out"
within_limit desk-1
within_limit desk-2
expect 'the others are refused' cut -d' ' -f3 "$work/desks.out" <<\END
200
503
END
grep -q '"why":"all endpoints named a request limit"' "$work"/front[123].out ||
	fail 'no log line says why requests were refused'

# The limit is over: the endpoints take as much as before.
control desk-1 limit=
control desk-2 limit=
before=$(total runs desk-1 desk-2)
load read_desk >"$work/over.out"
runs=$(($(total runs desk-1 desk-2) - before))
test "$runs" -gt $((LOAD_S * 10)) || fail "only $runs runs after the end of the limits"

# It ends with the incarnation that named it, also where nothing is sent any more.
control desk-1 "limit=$LIMIT"
load read_desk >"$work/again.out"
within_limit desk-1
control desk-1 restart=1
before=$(total runs desk-1)
load read_desk >"$work/restarted.out"
runs=$(($(total runs desk-1) - before))
test "$runs" -gt $((LOAD_S * 4)) || fail "only $runs runs after the restart"
finish
