# Shell functions of the cases 6 to 10; read by review/N/run.sh.
#
#	begin N			enters the repository, makes $work and the record
#	start NAME PROGRAM [ARG...]	starts a process; its output is $work/NAME.out
#	start_store		standin-platform without endpoints; sets $store
#	start_server NAME KIND [OPTION...]	'rv2 server'; sets $port
#	list_server ID SERVICE PORT [MODELS]	enters a server in the store
#	start_front N		hc-front as instance N at $network.N
#	note TEXT...		adds a line to the record
#	keep NAME...		adds the output of processes to the record
#	unable TEXT...		ends with 2: the case couldn't run
#	verdict STATUS TEXT...	ends with 0 or 1
#
# TROUBLE=0 leaves the disruption out.

TROUBLE=${TROUBLE:-1}
network=127.$((20 + $$ / 250 % 200)).$((1 + $$ % 250))
started=

begin () {
	cd "$(dirname "$0")/../.." || exit 2
	record=$PWD/review/$1/record.txt
	rv2=$PWD/target/bin/rv2
	work=$(mktemp -d) || exit 2
	trap clean_up EXIT
	trap 'exit 2' INT TERM
	echo "case $1, TROUBLE=$TROUBLE" >"$record"
	for program in hc-front standin-platform rv2
	do
		test -x "target/bin/$program" || unable "no target/bin/$program"
	done
}

clean_up () {
	code=$?
	trap - EXIT INT TERM
	for name in $started
	do
		kill -KILL "$(cat "$work/$name.pid")" 2>/dev/null
		wait "$(cat "$work/$name.pid")" 2>/dev/null
	done
	# Clients that are still at work, if the script ends early.
	for process in $(jobs -p)
	do
		kill -KILL "$process" 2>/dev/null
	done
	rm -rf "$work"
	exit "$code"
}

note () {
	echo "$*" >>"$record"
}

unable () {
	echo "could not run: $*"
	note "could not run: $*"
	exit 2
}

verdict () {
	status=$1
	shift
	echo "$*"
	note "$*"
	exit "$status"
}

start () {
	name=$1
	shift
	"$@" >"$work/$name.out" 2>"$work/$name.err" &
	echo $! >"$work/$name.pid"
	case " $started " in
	*" $name "*) ;;
	*) started="$started $name" ;;
	esac
}

pid () {
	cat "$work/$1.pid"
}

is_running () {
	kill -0 "$(pid "$1")" 2>/dev/null
}

# Waits for a command to succeed, 10 s at most.
wait_until () {
	tries=0
	until "$@" >/dev/null 2>&1
	do
		tries=$((tries + 1))
		test "$tries" -lt 200 || unable "timed out: $*"
		sleep 0.05
	done
}

keep () {
	for name in "$@"
	do
		echo "--- $name" >>"$record"
		cat "$work/$name.out" "$work/$name.err" >>"$record"
	done
}

start_store () {
	start store target/bin/standin-platform --engines 0 --services 0
	wait_until grep -q '^listening' "$work/store.out"
	store=$(sed -n 's/^listening \(127.*\)$/\1/p' "$work/store.out")
}

start_server () {
	server=$1
	kind=$2
	shift 2
	start "$server" "$rv2" server 127.0.0.1 "$kind" "$@"
	wait_until grep -q '^listening' "$work/$server.out"
	port=$(sed -n 's/^listening //p' "$work/$server.out")
}

put_item () {
	"$rv2" put "$store" "/control?key=$1" >/dev/null || unable "store: $1"
}

list_server () {
	echo "{\"service\": \"$2\", \"addr\": \"127.0.0.1:$3\", \"zone\": \"north-a\",
		\"version\": \"1\", \"slots\": 16, \"state\": \"ready\",
		\"coldLeftMs\": 0, \"seq\": 1, \"born\": 1000${4:+, \"models\": $4}}" |
	put_item "servers/$1"
}

# The routes: resume to the engines, write, big and read to the desk.  'write_config
# VERSION plain' leaves out those to the engines.
write_config () {
	streams='{"name": "resume", "host": "front.example", "prefix": "/resume/",
		"kind": "streaming", "service": "assist", "timeoutMs": 15000,
		"goalMs": 1000, "gapTargetMs": 250, "priority": 0, "attempts": 2,
		"resumable": true},'
	test "$2" = plain && streams=
	put_item op/config <<-END
	{"version": ${1:-3}, "routes": [$streams
	{"name": "write", "host": "front.example", "prefix": "/write/",
		"kind": "non_idempotent", "service": "desk", "timeoutMs": 1000,
		"goalMs": 150, "priority": 2, "attempts": 1},
	{"name": "big", "host": "front.example", "prefix": "/big/",
		"kind": "non_idempotent", "service": "desk", "timeoutMs": 15000,
		"goalMs": 800, "priority": 2, "attempts": 1},
	{"name": "read", "host": "front.example", "prefix": "/read/",
		"kind": "idempotent", "service": "desk", "timeoutMs": 1000,
		"goalMs": 150, "priority": 2, "attempts": 2}],
	"services": [
	{"name": "desk", "healthPath": "/health", "maxConns": 110},
	{"name": "assist", "healthPath": "/health", "maxConns": 370,
		"engine": {"slots": 64, "adapterSlots": 29, "weightsMb": 36000,
		"models": [{"name": "base", "weightsMb": 34300.0,
			"adapterMb": 40.0, "loadS": 1.3, "adapters": 3000}]}}],
	"limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
		"headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
	END
}

# As deploy/settings.json.in makes them for a small deployment.
front_settings () {
	cat >"$work/front$1.json" <<-END
	{
		"instance": "front-$1",
		"address": "$network.$1",
		"region": "north",
		"failure_domain": "north-a",
		"callers_listen": "$network.$1:8000",
		"ready_listen": "$network.$1:8001",
		"metrics_port": 9105,
		"owner_port": 8002,
		"key_value_service": ["$store"],
		"descriptors": 4100,
		"memory_mb": 260,
		"link_mbps": 1000.0,
		"grace_s": 8,
		"order_gap_ms": 3000,
		"lease_ttl_min_ms": 1000,
		"heartbeat_ms": 1200,
		"store_history_s": 20,
		"config_ms": 2000,
		"drain_ms": 2000,
		"repeat_share": "0.2",
		"repeat_window_s": 10,
		"repeat_slack": 58
	}
	END
}

start_front () {
	front_settings "$1"
	start "front$1" target/bin/hc-front --settings "$work/front$1.json"
	wait_until "$rv2" get "$network.$1:8001" /ready
}
