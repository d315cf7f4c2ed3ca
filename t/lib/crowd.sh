# Shell functions for tests of clients that misbehave; includes front.sh.
#
#	start_crowded_front		models, a document with the platform's usual limits, and
#					hc-front as instance 1 with $memory_mb and $descriptors
#	beside COUNT FORM [SIZE]	runs hc-crowd, and checks the instance beside it
#	check_bounds			fails if the instance ended, or exceeded its settings
#
# The bounds are the settings: memory_mb for VmHWM, descriptors for the open ones.

. "$(dirname "$0")/lib/front.sh"

memory_mb=64
descriptors=1200
body_max=4194304
head_max=16384
head_timeout=3000
# What an address sanitizer keeps of freed memory is not the program's.
ASAN_OPTIONS=${ASAN_OPTIONS:+$ASAN_OPTIONS:}quarantine_size_mb=1
export ASAN_OPTIONS

start_crowded_front () {
	start_models
	write_config 1
	front_settings 1
	sed -i "s/\"grace_s\": 6,/&\"memory_mb\": $memory_mb, \"descriptors\": $descriptors,/" \
		"$work/front1.json"
	start_front 1
	wait_for is_served
}

is_served () {
	test "$(ask 1 /read/x -X POST -d ordinary -o /dev/null -w '%{http_code}' \
		2>>"$work/curl.err")" = 200
}

open_descriptors () {
	ls "/proc/$(pid front1)/fd" | wc -l
}

check_bounds () {
	is_running front1 || fail "$1: the instance ended"
	peak=$(awk '$1 == "VmHWM:" { print $2 }' "/proc/$(pid front1)/status")
	test "$peak" -le $((memory_mb * 1000)) ||
		fail "$1: the instance used $peak KB of memory, more than $memory_mb MB"
	opened=$(open_descriptors)
	test "$opened" -le "$descriptors" ||
		fail "$1: $opened descriptors are open, more than $descriptors"
}

is_settled () {
	grep -q '^settled' "$work/crowd.out"
}

# One ordinary request is answered: within the attempts of wait_for.
beside () {
	start_many 0 crowd hc-crowd "$(ip 1):8000" "$@"
	wait_for is_settled
	check_bounds "$2"
	wait_for is_served
	kill_now crowd
	check_bounds "$2"
	echo "ok: $2: $peak KB, $opened descriptors"
}
