#!/bin/sh
# hcctl check: errors, entries that no request matches, contradictory limits, and what a
# change does to callers.  Guards against a change that looks valid and refuses callers.
. "$(dirname "$0")/lib/deploy.sh"

hash_of () {
	printf '%s' "$1" | sha256sum | cut -d' ' -f1
}

ctl () {
	HCCTL_TOKEN=$token "$bin/hcctl" --admin="$(address admin)" "$@"
	echo "status $?"
}
offline () {
	"$bin/hcctl" "$@"
	echo "status $?"
}

token=example-operations
good=etc/kapok.json
cat >"$work/good.json" <<END
{
"format": 1, "batch_weight": 0.5,
"regions": {"north": ["north-a"]},
"base_models": {"base": {"adapters": ["one-{1..3}@1"]}},
"services": [
	{"name": "assist", "kind": "engine", "base_model": "base",
	 "weight_store": {"loads_per_second": 2, "loads_in_transit": 4}},
	{"name": "desk", "kind": "plain", "path": "/desk/",
	 "limits": {"requests_per_second": 10, "concurrent_requests": 20}}
],
"endpoints": [
	{"id": "assist-1", "service": "assist", "address": "10.0.0.1", "port": 80,
	 "region": "north", "failure_domain": "north-a", "adapter_slots": 4,
	 "concurrent_requests": 8, "checks_orders": true, "order_token": "secret-one"},
	{"id": "desk-1", "service": "desk", "address": "10.0.0.2", "port": 80,
	 "region": "north", "failure_domain": "north-a", "concurrent_requests": 8}
],
"callers": [
	{"name": "clerks", "token_sha256": ["$(hash_of clerks)"], "adapters": ["one-*"],
	 "services": ["desk"], "priority": 3},
	{"name": "desks", "token_sha256": ["$(hash_of desks)"], "adapters": [],
	 "services": ["desk"], "limits": {"requests_per_second": 5}}
],
"operators": [
	{"name": "ops", "role": "editor", "token_sha256": ["$(hash_of ops)"]},
	{"name": "audit", "role": "viewer", "token_sha256": ["$(hash_of audit)"]}
]
}
END
expect 'nothing is wrong' offline check "$work/good.json" <<\END
0 errors, 0 findings
status 0
END
expect 'nothing is wrong with the example' offline check "$good" <<\END
0 errors, 0 findings
status 0
END
sed 's/"priority": 3/"priority": 30/' "$work/good.json" >"$work/faulty.json"
expect 'errors as the product finds them' offline check "$work/faulty.json" <<\END
error: callers[0].priority: 30 is out of range; give a value from 0 to 9
1 errors, 0 findings
status 1
END

# Each entry that no request matches.
sed -e 's/"base": {"adapters": \["one-{1..3}@1"\]}/"base": {"adapters": ["one-{1..3}@1"]}, "lost": {"adapters": ["two@1"]}/' \
	-e 's/"adapters": \["one-\*"\]/"adapters": ["one-*", "none-*"]/' \
	-e 's|{"name": "desk", |{"name": "spare", "kind": "plain", "path": "/spare/"},\n	&|' \
	-e '/"name": "desks"/,$s/"services": \["desk"\]/"services": []/' \
	"$work/good.json" >"$work/useless.json"
expect 'entries that never match' offline check "$work/useless.json" <<\END
never matches: base_models.lost: no service has this base model; 'two@1' can't be reached; add a service of kind "engine" or remove it
never matches: services[spare]: it has no endpoint; add endpoints or remove it
never matches: services[spare]: no caller may use it; allow a caller or remove it
never matches: callers[desks]: it may use no adapter and no service; allow it something or remove it
never matches: callers[clerks].adapters: no adapter version matches 'none-*'; correct or remove it
0 errors, 5 findings
status 1
END

# Limits that others keep from being reached.
sed -e 's/"loads_in_transit": 4/"loads_in_transit": 5/' \
	-e 's/"concurrent_requests": 20}/"concurrent_requests": 20, "queued_requests": 11}/' \
	-e 's/"limits": {"requests_per_second": 5}/"limits": {"requests_per_second": 11, "concurrent_requests": 21, "queued_requests": 22}/' \
	"$work/good.json" >"$work/limits.json"
expect 'contradictory limits' offline check "$work/limits.json" <<\END
contradiction: services[assist].weight_store.loads_in_transit: 5 is never reached: the adapter slots of its endpoints allow 4; lower it, remove it or raise the others
contradiction: services[desk].limits.concurrent_requests: 20 is never reached: its endpoints and queued_requests allow 19; lower it, remove it or raise the others
contradiction: callers[desks].limits.queued_requests: 22 is never reached: concurrent_requests allow 21; lower it, remove it or raise the others
contradiction: callers[desks].limits.requests_per_second: 11 is never reached: the services that it may use allow 10; lower it, remove it or raise the others
contradiction: callers[desks].limits.concurrent_requests: 21 is never reached: the services that it may use allow 20; lower it, remove it or raise the others
0 errors, 5 findings
status 1
END

# What a change does, the worst first; a token of orders is not shown.
sed -e 's/"batch_weight": 0.5/"batch_weight": 0.6/' \
	-e 's/"requests_per_second": 10/"requests_per_second": 9/' \
	-e 's/"requests_per_second": 5/"requests_per_second": 6/' \
	-e 's/"adapters": \["one-\*"\]/"adapters": ["one-1"]/' \
	-e 's/secret-one/secret-two/' \
	-e 's/"role": "viewer"/"role": "editor"/' \
	-e 's/, "concurrent_requests": 20}/}/' \
	"$work/good.json" >"$work/changed.json"
expect 'differences by what they do to callers' \
	offline check "$work/changed.json" --against "$work/good.json" <<\END
may refuse callers: removed callers[clerks].adapters - "one-*"
may refuse callers: changed services[desk].limits.requests_per_second - 10 + 9
alters service: changed batch_weight - 0.5 + 0.6
alters service: changed endpoints[assist-1].order_token - (hidden) + (hidden)
serves more: added callers[clerks].adapters + "one-1"
serves more: changed callers[desks].limits.requests_per_second - 5 + 6
serves more: removed services[desk].limits.concurrent_requests - 20
no effect on callers: changed operators[audit].role - "viewer" + "editor"
0 errors, 0 findings, 8 differences
status 0
END
sed 's/"batch_weight": 0.5/"batch_weight": 0.6/' "$work/good.json" >"$work/one.json"
expect 'the same as JSON' \
	offline --json check "$work/one.json" --against "$work/good.json" <<\END
{"errors":[],"findings":[],"differences":[{"impact":"alters service","kind":"changed","path":"batch_weight","before":"0.5","after":"0.6"}]}
status 0
END
wrong_usage () {
	offline "$@" 2>/dev/null
}
expect 'wrong usage: no file' wrong_usage check <<\END
status 2
END
expect 'wrong usage: two documents to compare with' \
	wrong_usage check "$good" --running --against "$good" <<\END
status 2
END
expect 'wrong usage: another command' wrong_usage diff "$good" --running <<\END
status 2
END
expect 'a file that is missing' wrong_usage check "$work/none.json" <<\END
status 1
END

# Against the document in force.
echo 'a-membership-key-of-the-test' >"$work/key"
start kv standin-kv
settings admin <<END
{
	"instance": "admin",
	"address": "127.0.0.1",
	"region": "north",
	"failure_domain": "north-a",
	"admin_port": 0,
	"admin_status_port": 0,
	"key_value_service": ["$(address kv)"],
	"membership_key_file": "$work/key",
	"bootstrap_token_sha256": "$(hash_of first)"
}
END
start admin hc-admin --settings="$work/admin.json"
token=first
expect 'the document is committed' ctl -g 0 commit "$work/good.json" <<\END
accepted as generation 1
status 0
END
token=ops
in_force () {
	ctl status | grep -q 'newest known here: 1$'
}
wait_for in_force
expect 'differences from the document in force' \
	ctl check "$work/one.json" --running <<\END
alters service: changed batch_weight - 0.5 + 0.6
0 errors, 0 findings, 1 differences
status 0
END
finish
