#!/bin/sh
# A part of a prompt that crashes each engine that begins to answer it is held after
# three crashes by all instances, also by one that starts later; sound prompts that
# share their other parts are served.
. "$(dirname "$0")/lib/front.sh"

start_models --events 20
write_config 1
start_front 1
start_front 2
wait_for engines_shared
for engine in engine-1 engine-2
do
	control "$engine" deadly=bad1
done

# Prompt N with these shared parts, through instance $1.
prompt () {
	to=$1
	parts=$2
	shift 2
	last=$((last + 1))
	ask "$to" /stream/x -X POST -d prompt -H 'X-Hawthorncross-Model: base' \
		-H 'X-Hawthorncross-Token-Count: 100,20' \
		-H "X-Hawthorncross-Prompt-Prefix: $parts,last$last:10" "$@"
}
status () {
	prompt "$@" -o /dev/null -w '%{http_code}\n'
}
served () {
	test "$(status "$1" "$2")" = 200
}
crashes () {
	total crashes engine-1 engine-2
}
for n in 1 2
do
	wait_for served "$n" common:5
done

# Beside each deadly request runs a sound one with a part that was never answered.
for n in 1 2 1
do
	prompt "$n" common:5,rare:7 -o /dev/null 2>"$work/curl.err" &
	sound=$!
	sleep 0.05
	prompt "$n" common:5,bad1:20 -o /dev/null 2>"$work/curl.err"
	wait "$sound"
	wait_for served 1 common:5
	wait_for served 2 common:5
	served 1 common:5,rare:7
done
expect 'three engines have crashed' crashes <<\END
3
END
held () {
	grep -q '"event":"prompt part held","part":"bad1"' "$work/front$1.out"
}
wait_for held 1
wait_for held 2

start_front 3
held_by_3 () {
	status 3 common:5,bad1:20 -D "$work/head" >"$work/status" &&
		test "$(cat "$work/status")" = 503
}
wait_for served 3 common:5
deadly () {
	for n in 1 2 3
	do
		status "$n" "common:5,x$n:3,bad1:20"
	done
}
expect 'no instance sends the part' deadly <<\END
503
503
503
END
held_by_3 || fail 'an instance that has just started sends the part'
after () {
	sed -n 's/^[Rr]etry-[Aa]fter: \([0-9]*\).*/\1/p' "$work/head"
}
test "$(after)" -ge 30 || fail 'the caller is told to come back too soon'
sound () {
	for n in 1 2 3
	do
		status "$n" common:5
		status "$n" common:5,rare:7
		# As the last part it belongs to the request alone.
		ask "$n" /stream/x -X POST -d prompt -o /dev/null \
			-H 'X-Hawthorncross-Model: base' \
			-H 'X-Hawthorncross-Prompt-Prefix: common:5,bad1:20' \
			-w '%{http_code}\n'
	done | sort | uniq -c | tr -s ' '
}
expect 'sound prompts are served' sound <<\END
 9 200
END
expect 'no engine has crashed since' crashes <<\END
3
END
finish
