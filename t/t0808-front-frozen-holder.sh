#!/bin/sh
# A holder freezes while requests wait there for their adapters.  Once it has not
# replied to a further request in time, the waiting ones must not wait for it either.
. "$(dirname "$0")/lib/front.sh"

LOAD_MS=800

start_models --load-ms "$LOAD_MS"
write_config 1
for n in 1 2
do
	front_settings "$n"
	sed -i "s/\"adapter_load_ms\": [0-9]*/\"adapter_load_ms\": $LOAD_MS/" \
		"$work/front$n.json"
	start_front "$n"
done
wait_for engines_shared
# Load the base model on each engine.
adapter 1 m1 -o /dev/null
adapter 1 m2 -o /dev/null
adapter 1 m3 -o /dev/null

# Adapters not yet resident, some of them on the engine of the second instance.
for name in c1 c2 c3 c4
do
	adapter 1 "$name" -o /dev/null -w '%{http_code}\n' >"$work/$name" &
	asking="$asking $!"
done
sleep 0.2
freeze front2
# These requests get no reply, so that the holder counts as silent.
for name in d1 d2 d3 d4
do
	adapter 1 "$name" -o /dev/null &
	asking="$asking $!"
done
# They wait 250 ms for the reply, then for a load at another engine, or are refused
# if the time left is too short.
all_ended () {
	test "$(cat "$work"/c? | wc -l)" = 4
}
within_seconds 2 all_ended
thaw front2
wait $asking
grep -q '"event":"holder silent"' "$work/front1.out" ||
	fail 'no request met the frozen holder'
finish
