# Shell functions of the review's scripts; each script includes this file.
#
#	begin			folders, the record; call it first
#	start NAME COMMAND...	starts a process; its output goes to $work/NAME.out
#	address NAME		the address that the process printed
#	stop_process NAME SIG	sends it a signal
#	put KEY VALUE		writes an item as the operator or a server does
#	delete KEY		removes one
#	configure VERSION ROUTES SERVICES
#	start_front N		starts hc-front as instance N with the command of
#				deploy/system.toml and settings like those that
#				deploy/settings.json.in gives; waits until ready
#	launch_front N		the same, without waiting
#	record WORDS...		a line of the record
#	finish STATUS		ends all processes and the script
#
# Addresses are 127.A.B.N, another A.B in each run; all ports there are free.

set -u
top=$(cd "$(dirname "$0")/../.." && pwd)
case_folder=$(cd "$(dirname "$0")" && pwd)
bin=$top/target/bin
rv=$top/target/review
TROUBLE=${TROUBLE:-1}
network=127.$((20 + $$ / 250 % 200)).$((1 + $$ % 250))
processes=

now () {
	date +%s%3N
}

record () {
	echo "$(now) script $*" >>"$record"
}

begin () {
	work=$(mktemp -d) || exit 2
	record=$case_folder/record.txt
	: >"$record"
	trap 'finish 2' INT TERM
	for program in "$bin/hc-front" "$bin/standin-platform" "$rv/rv-server" "$rv/rv-client"
	do
		test -x "$program" || {
			echo "$program is missing: build first" >&2
			exit 2
		}
	done
	record "TROUBLE=$TROUBLE, addresses $network.*"
}

start () {
	name=$1
	shift
	"$@" >>"$work/$name.out" 2>>"$work/$name.err" &
	eval "pid_$(echo "$name" | tr -- - _)=$!"
	processes="$processes $!"
}

pid_of () {
	eval "echo \$pid_$(echo "$1" | tr -- - _)"
}

stop_process () {
	record "SIG$2 to $1"
	kill -s "$2" "$(pid_of "$1")" 2>/dev/null
}

is_running () {
	kill -0 "$(pid_of "$1")" 2>/dev/null
}

# Waits for a command to succeed, 10 s at most; ends the script otherwise.
wait_for () {
	limit=$(($(now) + 10000))
	until "$@"
	do
		if test "$(now)" -gt "$limit"
		then
			echo "the case could not run: $*" >&2
			finish 2
		fi
		sleep 0.05
	done
}

printed () {
	grep -q "$2" "$work/$1.out" 2>/dev/null
}

address () {
	sed -n 's/^listening \(127[0-9.:]*\)$/\1/p' "$work/$1.out"
}

start_store () {
	start store "$bin/standin-platform" "$@"
	wait_for printed store '^listening 127'
	store=$(address store)
}

put () {
	"$rv/rv-http" "$store" PUT "/control?key=$1" "$2" >/dev/null || finish 2
}

delete () {
	"$rv/rv-http" "$store" DELETE "/control?key=$1" >/dev/null || finish 2
}

configure () {
	put op/config "{\"version\": $1, \"routes\": [$2], \"services\": [$3],
		\"limits\": {\"maxHeaderBytes\": 8192, \"maxBodyBytes\": 4194304,
			\"headerTimeoutMs\": 3000, \"idleTimeoutMs\": 15000}}"
}

front_settings () {
	cat >"$work/front$1.json" <<-END
	{
		"instance": "front-$1",
		"address": "$network.$1",
		"region": "bc-lower",
		"failure_domain": "zone-a",
		"callers_listen": "$network.$1:8149",
		"ready_listen": "$network.$1:8141",
		"metrics_port": 9105,
		"owner_port": 7380,
		"key_value_service": ["${store_for_fronts:-$store}"],
		"descriptors": 4100,
		"link_mbps": 1000.0,
		"grace_s": 8,
		"order_gap_ms": 3000,
		"lease_ttl_min_ms": 1000,
		"store_history_s": 20,
		"config_ms": 2000,
		"drain_ms": 2000,
		"repeat_share": "0.2",
		"repeat_window_s": 10,
		"repeat_slack": 58
	}
	END
}

is_ready () {
	"$rv/rv-http" "$network.$1:8141" GET /ready 2>/dev/null | grep -q ^200
}

launch_front () {
	test -f "$work/front$1.json" || front_settings "$1"
	record "start of front-$1"
	start "front$1" "$bin/hc-front" --settings "$work/front$1.json"
}

start_front () {
	launch_front "$1"
	wait_for is_ready "$1"
	record "front-$1 is ready"
}

# Ends what this script has started, by its ids.
finish () {
	trap - INT TERM
	for pid in $processes
	do
		kill -s KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	test -n "${KEEP:-}" || rm -rf "$work"
	exit "$1"
}
