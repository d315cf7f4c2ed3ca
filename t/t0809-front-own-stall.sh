#!/bin/sh
# An instance that was stalled itself must not count a holder as silent whose reply
# arrived during the stall.
. "$(dirname "$0")/lib/front.sh"

start_models
write_config 1
start_front 1
start_front 2
wait_for engines_shared
for name in c1 c2 c3 c4
do
	adapter 1 "$name" -o /dev/null
done

# The holder replies while this instance is frozen.
freeze front2
for name in c1 c2 c3 c4
do
	adapter 1 "$name" -o /dev/null -w '%{http_code}\n' >"$work/$name" &
	asking="$asking $!"
done
sleep 0.1
freeze front1
thaw front2
sleep 0.5
thaw front1
wait $asking
expect 'all requests are served' eval 'cat "$work"/c? | sort | uniq -c | tr -s " "' <<\END
 4 200
END
silent () {
	grep -c '"event":"holder silent"' "$work/front1.out"
}
expect 'no holder counts as silent' silent <<\END
0
END
finish
