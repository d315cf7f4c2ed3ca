# Shell functions for tests of clients of hc-entry and hc-admin that misbehave; includes
# instances.sh.
#
#	start_crowded_one	an instance whose programs may open $descriptors
#	crowd_at PORT COUNT FORM [SIZE]	runs hc-crowd, and checks both programs beside it

. "$(dirname "$0")/lib/instances.sh"

# Incomplete bodies may take 64 MB.
memory_mb=128
descriptors=200
ASAN_OPTIONS=${ASAN_OPTIONS:+$ASAN_OPTIONS:}quarantine_size_mb=1
export ASAN_OPTIONS

start_crowded_one () {
	ulimit -Sn "$descriptors"
	start_one
	ulimit -Sn 4096
	wait_for is_answered
}

is_answered () {
	test "$(ask 1 clerk-token '{"model":"note-03@1","prompt":"p","max_tokens":1}' \
		-o /dev/null -w '%{http_code}')" = 200 &&
	test "$(curl -s -o /dev/null -w '%{http_code}' --max-time 5 \
		"http://$(ip 1):8002/admin/document")" = 401
}
check_bounds () {
	peaks=
	for name in entry1 admin1
	do
		is_running "$name" || fail "$1: $name ended"
		peak=$(awk '$1 == "VmHWM:" { print $2 }' "/proc/$(pid "$name")/status")
		test "$peak" -le $((memory_mb * 1000)) ||
			fail "$1: $name used $peak KB of memory, more than $memory_mb MB"
		peaks="$peaks $peak"
		opened=$(ls "/proc/$(pid "$name")/fd" | wc -l)
		# The rest is for the store, owners and other instances.
		test "$opened" -le $((descriptors * 3 / 4)) ||
			fail "$1: $name has $opened descriptors open of $descriptors"
	done
}

is_settled () {
	grep -q '^settled' "$work/crowd.out"
}

crowd_at () {
	port=$1
	shift
	start_many 0 crowd hc-crowd "$(ip 1):$port" "$@"
	wait_for is_settled
	check_bounds "$* at port $port"
	wait_for is_answered
	kill_now crowd
	check_bounds "$* at port $port"
	echo "ok: $* at port $port:$peaks KB"
}
