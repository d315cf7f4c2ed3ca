#!/bin/sh
# A committed change must come into force on all running instances within a bound.
# An instance that was frozen must catch up, and a restarted entry must get the
# document even if the key-value service has stopped since the commit.

. "$(dirname "$0")/lib/instances.sh"

BOUND_SECONDS=6

start_platform
start_engines 1
start_instance 1 north-a
start_instance 2 north-b
start_instance 3 north-c
endpoints=$(engine assist-1 "$(port engines 1)" north-a)
commit_document
wait_for in_force 1 1 2 3
wait_for serves 1

# The bound applies to instances whose processes are all running.
within_bound () {
	deadline=$(($(date +%s) + BOUND_SECONDS))
	until in_force "$@"
	do
		test "$(date +%s)" -le "$deadline" ||
			fail "generation $1 is not in force within $BOUND_SECONDS s"
		sleep 0.1
	done
}

callers=',{"name": "yard", "priority": 3,
	"token_sha256": ["'$(sha256 yard-token)'"], "adapters": ["note-02"]}'
commit_document
within_bound 2 1 2 3
code_of () {
	ask "$1" "$2" '{"model":"note-02@1","prompt":"p","max_tokens":1}' \
		-o /dev/null -w '%{http_code}\n'
}
expect 'a new caller is served at each entry' eval \
	'for n in 1 2 3; do code_of $n yard-token; done' <<\END
200
200
200
END

# An instance that was frozen during a commit must catch up when it continues.
freeze owner3
freeze entry3
callers=
commit_document
within_bound 3 1 2
thaw owner3
thaw entry3
wait_for in_force 3 3
expect 'a removed caller is refused at each entry' eval \
	'for n in 1 2 3; do code_of $n yard-token; done' <<\END
401
401
401
END

# Without the key-value service the document stays in force, and a restarted entry
# gets it from its owner.
stop kv
kill_now entry2
start entry2 hc-entry --settings "$work/i2.json"
wait_for in_force 3 1 2 3
echo 'ok: a restarted entry gets the document from its owner'
wait_for serves 2
echo 'ok: requests are served without the key-value service'
finish
