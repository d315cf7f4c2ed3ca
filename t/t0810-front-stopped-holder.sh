#!/bin/sh
# The planned stop of a holder while requests wait there for their adapters: they go
# on at another engine, or are refused, and do not wait for the holder any more.
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
for name in c1 c2 c3 c4 c5 c6
do
	adapter 1 "$name" -o /dev/null -w '%{http_code}\n' >"$work/$name" &
	asking="$asking $!"
done
sleep 0.2
signal_to front2 TERM
all_ended () {
	test "$(cat "$work"/c? | wc -l)" = 6
}
within_seconds 3 all_ended
wait $asking
grep -q '"event":"request".*"asks":"[2-9]"' "$work/front1.out" ||
	fail 'no request went on from the stopped holder'
finish
