# Shell functions for test scripts that run the programs as real processes.
#
# A script t/tNNNN-topic.sh begins with
#
#	. "$(dirname "$0")/lib/deploy.sh"
#
# and ends with 'finish'.  It runs at the root of the repository with a temporary
# directory $work.  On any exit, the processes that it started are killed, no
# others, and $work is removed.
#
#	settings NAME <<\END		write $work/NAME.json
#	start NAME PROGRAM [ARG...]	start, and wait for its 'listening' line
#	start_many COUNT NAME PROGRAM [ARG...]	start, and wait for COUNT
#					'listening' lines
#	address NAME [N]		HOST:PORT of its Nth 'listening' line
#	port NAME [N]			its port
#	pid NAME			its process ID
#	is_running NAME			status 0 while it runs
#	stop NAME			SIGTERM, wait, set $status to its exit status
#	kill_now NAME			SIGKILL and wait
#	freeze NAME, thaw NAME		SIGSTOP, SIGCONT
#	wait_for COMMAND [ARG...]	retry until it succeeds, or fail
#	within_seconds N COMMAND [ARG...]	retry for at most N seconds, or fail
#	expect LABEL COMMAND [ARG...] <<\END	fail unless its output is as given
#	fail MESSAGE			print the logs and end with status 1
#	finish				exit with 0, or fail if a program has
#					exited unexpectedly
#
# If a script fails, its $work is copied into the directory $KEEP_LOGS, if set.
#
# Process names consist of letters, digits and '_'.  Standard output, which includes
# the log, goes to $work/NAME.out, and standard error to $work/NAME.err.
#
# Scripts are numbered by topic: t00xx basics, t01xx callers' interface, t02xx
# operators, t03xx ownership, t04xx claims, t05xx stops, t06xx configuration,
# t07xx replacement.

cd "$(dirname "$0")/.." || exit 1
# Programs do not free open connections at exit, so leak detection is off here; the
# unit tests check for leaks.
ASAN_OPTIONS=${ASAN_OPTIONS:+$ASAN_OPTIONS:}detect_leaks=0
export ASAN_OPTIONS
BUILD=${BUILD:-build}
bin=$BUILD/bin
work=$(mktemp -d) || exit 1
started=
script=$(basename "$0" .sh)

# Number of attempts of wait_for, and the delay between them in seconds.
WAIT_ATTEMPTS=600
WAIT_PAUSE=0.05

pid () {
	cat "$work/$1.pid"
}

is_running () {
	test -f "$work/$1.pid" && kill -0 "$(pid "$1")" 2>/dev/null
}

# Succeeds even if the process has already exited.
signal_to () {
	kill -s "$2" "$(pid "$1")" 2>/dev/null
	return 0
}

# Wait for a process that was signalled, and set $status to its exit status.
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
			fail "timed out waiting for: $*"
		sleep "$WAIT_PAUSE"
	done
}

within_seconds () {
	limit=$(($(date +%s%N) / 1000000 + $1 * 1000))
	shift
	until "$@" >/dev/null 2>&1
	do
		test "$(($(date +%s%N) / 1000000))" -lt "$limit" ||
			fail "timed out: $*"
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
	test -f "$work/$name.pid" && fail "$name is already running"
	# Do not count the lines of an earlier process of this name.
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

# A program that exits without a signal from the script has crashed, which fails the
# script even if every other check passed.
check_all_run () {
	for name in $started
	do
		test ! -f "$work/$name.pid" || is_running "$name" ||
			fail "$name exited unexpectedly"
	done
}

finish () {
	check_all_run
	echo "ok: $script"
	exit 0
}
