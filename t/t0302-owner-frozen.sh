#!/bin/sh
# An owner is frozen until its lease has expired, then continued.  Another owner has
# taken its endpoint by then, so the continued one must give it up, and no adapter may
# be unloaded while a request uses it.  One engine checks fencing numbers, the other
# ignores them.

. "$(dirname "$0")/lib/instances.sh"

start_platform
start_engines 2
start_instance 1 north-a
start_instance 2 north-b
endpoints="$(engine assist-1 "$(port engines 1)" north-a true)
$(engine assist-2 "$(port engines 2)" north-a false)"
commit_document
wait_for in_force 1 1 2
wait_for serves 1
wait_for serves 2

owned () {
	status_of "$1" 8004 | grep -q "\"endpoints\":$2,"
}
wait_for owned 1 1

freeze owner1
wait_for owned 2 2
echo 'ok: another owner took the endpoint of the frozen one'
wait_for serves 2
thaw owner1

# Run load while the frozen owner continues, when both owners may act on the engine.
"$bin/hc-load" --entry "$(ip 2):8000" --tokens clerk-token \
	--adapter-prefix note-1 --adapters 10 --duration 5 --callers 6 \
	--json "$work/result.json" >"$work/table" 2>&1
cat "$work/table" >&2
wrong () {
	grep -o '"wrong" *: *[0-9]*' "$work/result.json" | grep -o '[0-9]*$'
}
grep -q '"right" *: *[1-9]' "$work/result.json" || fail 'no request was answered'
expect 'no answer is wrong' wrong <<\END
0
END
expect 'no adapter was unloaded during a request' violations <<\END
"violations":[]
END
wait_for owned 1 1
wait_for owned 2 1
echo 'ok: the continued owner owns one endpoint again'
finish
