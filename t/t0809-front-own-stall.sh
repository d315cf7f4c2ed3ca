#!/bin/sh
# An instance that stood still itself does not take a holder for silent whose answer
# came meanwhile.
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

# The holder answers after this instance was stopped and before it goes on.
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
expect 'all are served' eval 'cat "$work"/c? | sort | uniq -c | tr -s " "' <<\END
 4 200
END
silent () {
	grep -c '"event":"holder silent"' "$work/front1.out"
}
expect 'no holder is taken for silent' silent <<\END
0
END
finish
