# Shell functions for scripted tests that run the programs as real processes.
#
# A script t/tNNNN-topic.sh begins with
#
#	. "$(dirname "$0")/lib/deploy.sh"
#
# and ends with 'finish'.  It runs at the root of the repository, with a
# directory $work of its own.  At its end, however it ends, only the processes
# that it started are stopped, and $work is removed.
#
#	settings NAME <<\END		write $work/NAME.json
#	start NAME PROGRAM [ARG...]	start, and wait for its 'listening' line
#	start_many COUNT NAME PROGRAM [ARG...]	the same, for COUNT lines
#	address NAME [N]		HOST:PORT of its Nth 'listening' line
#	port NAME [N]			the port alone
#	pid NAME			its process
#	is_running NAME			status 0 while it runs
#	stop NAME			SIGTERM, wait, its exit status in $status
#	kill_now NAME			SIGKILL and wait
#	freeze NAME, thaw NAME		SIGSTOP, SIGCONT
#	wait_for COMMAND [ARG...]	until it succeeds, or fail
#	within_seconds N COMMAND [ARG...]	the same, within a stated bound
#	expect LABEL COMMAND [ARG...] <<\END	compare its output, or fail
#	fail MESSAGE			print the logs and end with status 1
#	finish				end well, if no program has ended by
#					itself
#
# KEEP_LOGS=DIR keeps what a script that failed has written.
#
# Names of processes are made of letters, digits and '_'.  Standard output is in
# $work/NAME.out along with the log, what it says of a wrong start in $work/NAME.err.
#
# Scripts are numbered by topic: t00xx basics, t01xx callers' interface, t02xx
# operators, t03xx ownership, t04xx claims, t05xx stops, t06xx configuration,
# t07xx replacement.

cd "$(dirname "$0")/.." || exit 1
# A program that ends leaves its open connections to the system; the unit
# programs check for leaks.
ASAN_OPTIONS=${ASAN_OPTIONS:+$ASAN_OPTIONS:}detect_leaks=0
export ASAN_OPTIONS
BUILD=${BUILD:-build}
bin=$BUILD/bin
work=$(mktemp -d) || exit 1
started=
script=$(basename "$0" .sh)

# Attempts of wait_for, and the seconds between two of them.
WAIT_ATTEMPTS=600
WAIT_PAUSE=0.05

pid () {
	cat "$work/$1.pid"
}

is_running () {
	test -f "$work/$1.pid" && kill -0 "$(pid "$1")" 2>/dev/null
}

# A signal to a process that has ended is no fault.
signal_to () {
	kill -s "$2" "$(pid "$1")" 2>/dev/null
	return 0
}

# Reap a process that was told to end; its exit status goes to $status.
reap () {
	status=0
	wait "$(pid "$1")" 2>/dev/null || status=$?
	rm -f "$work/$1.pid"
}

clean_up () {
	code=$?
	trap - EXIT INT TERM
	for name in $started
	do
		test -f "$work/$name.pid" || continue
		signal_to "$name" KILL
		reap "$name"
	done
	test "$code" != 0 && test -n "$KEEP_LOGS" &&
		cp -r "$work" "$KEEP_LOGS/$script.$$"
	rm -rf "$work"
	exit "$code"
}
trap clean_up EXIT
trap 'exit 1' INT TERM

fail () {
	echo "not ok: $script: $*"
	for log in "$work"/*.err "$work"/*.out
	do
		test -s "$log" || continue
		echo "--- $(basename "$log")"
		tail -n 20 "$log"
	done
	exit 1
}

wait_for () {
	attempt=0
	until "$@" >/dev/null 2>&1
	do
		attempt=$((attempt + 1))
		test "$attempt" -lt "$WAIT_ATTEMPTS" ||
			fail "gave up waiting for: $*"
		sleep "$WAIT_PAUSE"
	done
}

within_seconds () {
	limit=$(($(date +%s%N) / 1000000 + $1 * 1000))
	shift
	until "$@" >/dev/null 2>&1
	do
		test "$(($(date +%s%N) / 1000000))" -lt "$limit" ||
			fail "not in time: $*"
		sleep "$WAIT_PAUSE"
	done
}

settings () {
	cat >"$work/$1.json"
}

has_lines () {
	test -f "$work/$1.out" &&
		test "$(grep -c '^listening ' "$work/$1.out")" -ge "$2"
}

listens_or_ended () {
	has_lines "$1" "$2" || ! is_running "$1"
}

start_many () {
	count=$1
	name=$2
	program=$3
	shift 3
	test -f "$work/$name.pid" && fail "$name runs already"
	# The lines of an earlier process of this name don't count.
	rm -f "$work/$name.out"
	"$bin/$program" "$@" </dev/null \
		>"$work/$name.out" 2>"$work/$name.err" &
	echo "$!" >"$work/$name.pid"
	started="$started $name"
	wait_for listens_or_ended "$name" "$count"
	has_lines "$name" "$count" || fail "$name ended at its start"
}

start () {
	start_many 1 "$@"
}

address () {
	sed -n 's/^listening .*\(127\.[0-9.]*:[0-9]*\)$/\1/p' "$work/$1.out" |
	sed -n "${2:-1}p"
}

port () {
	address "$@" | sed 's/.*://'
}

stop () {
	signal_to "$1" TERM
	reap "$1"
}

kill_now () {
	signal_to "$1" KILL
	reap "$1"
}

freeze () {
	signal_to "$1" STOP
}

thaw () {
	signal_to "$1" CONT
}

expect () {
	label=$1
	shift
	cat >"$work/expected"
	"$@" >"$work/actual" 2>&1
	if diff -u "$work/expected" "$work/actual" >"$work/diff"
	then
		echo "ok: $label"
	else
		cat "$work/diff"
		fail "$label"
	fi
}

# A program that ends without being told has crashed, whatever else was right.
check_all_run () {
	for name in $started
	do
		test ! -f "$work/$name.pid" || is_running "$name" ||
			fail "$name has ended by itself"
	done
}

finish () {
	check_all_run
	echo "ok: $script"
	exit 0
}
