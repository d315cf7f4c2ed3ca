#!/bin/sh
# A part of a prompt that crashes engines is held after three crashes, also where only one or
# two engines serve the model and each starts again under its id.
# Guards against engines of which only the first crash counts, so that the part is never held.
. "$(dirname "$0")/lib/front.sh"

start_models --events 4
write_config 1
start_front 1
start_front 2
wait_for engines_shared
for engine in engine-1 engine-2
do
	control "$engine" deadly=bad1
	control "$engine" keeps_id=1
done

# The status of prompt N with these shared parts, through instance $1.
status () {
	last=$((last + 1))
	ask "$1" /stream/x -X POST -d prompt -H 'X-Hawthorncross-Model: base' \
		-H 'X-Hawthorncross-Token-Count: 100,20' \
		-H "X-Hawthorncross-Prompt-Prefix: $2,last$last:10" \
		-o /dev/null -w '%{http_code}\n' 2>>"$work/curl.err"
}
served () {
	test "$(status "$1" common:5)" = 200
}
crashes () {
	total crashes engine-1 engine-2
}
# One request at a time, each once both instances are served again.
crash_and_return () {
	status "$1" "common:5,$2:20" >/dev/null
	sleep 0.7
	wait_for served 1
	wait_for served 2
}

for n in 1 2 1 2 1 2
do
	crash_and_return "$n" bad1
done
expect 'three crashes of two engines under their ids' crashes <<\END
3
END

# The other engine is gone: one engine alone serves.
control engine-2 state=gone
control engine-1 deadly=bad2
wait_for served 1
for n in 1 2 1 2 1 2
do
	crash_and_return "$n" bad2
done
expect 'three more of one engine' crashes <<\END
6
END
finish
