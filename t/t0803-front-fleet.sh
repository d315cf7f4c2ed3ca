#!/bin/sh
# Two instances: engines change holders, the store is unreachable, configurations
# change.
. "$(dirname "$0")/lib/front.sh"

start_models
write_config 1
start_front 1
start_front 2

code () {
	ask "$@" -o /dev/null -w '%{http_code}\n'
}
served_at () {
	test "$(adapter "$1" "$2" -o /dev/null -w '%{http_code}')" = 200
}
wait_for engines_shared
wait_for served_at 1 a1
wait_for served_at 2 a2
served_everywhere () {
	for n in 1 2 3 4 5 6
	do
		adapter $((1 + n % 2)) "a$n" -o /dev/null -w '%{http_code}\n'
	done | sort | uniq -c | tr -s ' '
}
expect 'both instances reach both engines' served_everywhere <<\END
 6 200
END

# Both instances take a newer configuration and refuse an unreadable one.
write_config 2 "$default_routes
new /new/ idempotent desk 1000 1"
new_route () {
	test "$(code 1 /new/x)" = 200 && test "$(code 2 /new/x)" = 200
}
wait_for new_route
echo '{"version": 3, "routes": "none"}' | put_item op/config
wait_for grep -q 'configuration refused' "$work/front1.out"
wait_for grep -q 'configuration refused' "$work/front2.out"
expect 'an unreadable configuration changes nothing' code 1 /new/x <<\END
200
END
write_config 1
sleep 1
expect 'an older configuration changes nothing' code 2 /new/x <<\END
200
END
echo 'no JSON' | put_item servers/engine-9
echo '{"service": "desk", "addr": 7}' | put_item servers/desk-9
wait_for grep -q 'endpoint unreadable.*desk-9' "$work/front1.out"
expect 'an unreadable endpoint record affects no other endpoint' code 1 /read/x <<\END
200
END

# While the store is unreachable, requests are served with what is known.
control store mode=silent
wait_for grep -q 'store lost' "$work/front1.out"
while_away () {
	code 1 /read/x
	code 2 /write/x -X POST -d 1
	adapter 1 a1 -o /dev/null -w '%{http_code}\n'
}
expect 'requests are served without the store' while_away <<\END
200
200
200
END
is_ready 1 || fail 'not ready without the store'
# Wait until a poll has begun that the store will never answer.
sleep 2
control store mode=up
write_config 3 "$default_routes
back /back/ idempotent desk 1000 1"
back () {
	test "$(code 1 /back/x)" = 200 && test "$(code 2 /back/x)" = 200
}
# The bound is 2 s after the store is back; checking takes some time, too.
within_seconds 2 back
wait_for grep -q 'store regained' "$work/front1.out"
control store compact=1
write_config 4 "$default_routes
later /later/ idempotent desk 1000 1"
later () {
	test "$(code 1 /later/x)" = 200
}
wait_for later

# A frozen holder delays one request, not each of them.  The requests use an
# adapter that is resident at its engine, so that they wait for nothing else.
# The leases ended while the store was unreachable, and either instance may have
# acquired both engines since.
frozen=2
asked=1
test "$(held 2)" -gt 0 || { frozen=1 && asked=2; }
engine=$(curl -s "http://$(ip "$frozen"):8001/status" | grep -o 'engine-[12]-1' | head -n 1)
for name in g1 g2 g3 g4 g5 g6 g7 g8 g9
do
	adapter "$asked" "$name" -o /dev/null
	last=$(grep '"event":"request"' "$work/front$asked.out" | tail -n 1)
	case "$last" in
	*"\"endpoint\":\"$engine\""*) break ;;
	esac
done
silent () {
	grep -c "\"why\":\"the engine's holder is silent" "$work/front$asked.out"
}
freeze "front$frozen"
adapter "$asked" "$name" -o /dev/null
test "$(silent)" = 1 || fail 'no request met the frozen holder'
asking=
for n in 1 2 3 4
do
	adapter "$asked" "$name" -o /dev/null &
	asking="$asking $!"
done
wait $asking
expect 'the others do not wait for a frozen holder' silent <<\END
1
END
thaw "front$frozen"

# The other instance takes over the engines of one that was killed.
kill_now front1
took_over () {
	test "$(held 2)" = 2
}
wait_for took_over
wait_for served_at 2 b1
wait_for served_at 2 b2
start_front 1
wait_for served_at 1 a1
expect 'no order broke a rule' total broken engine-1 engine-2 <<\END
0
END
unreadable () {
	cat "$work"/front?.out | grep -c 'peer message unreadable'
}
expect 'the instances could read all messages' unreadable <<\END
0
END
expect 'nothing ran twice' total twice engine-1 engine-2 desk-1 desk-2 <<\END
0
END
finish
