#!/bin/sh
# Callers authenticate by the key of an organisation; keys come and go by versions of the
# configuration, also for an instance that is cut off from the store.
# Guards against requests without a valid key, a key at an endpoint or in what an instance
# prints, and a name that the caller chose.
. "$(dirname "$0")/lib/front.sh"

instances='1 2'
routes='read /read/ idempotent desk 2000 2
public /public/ idempotent desk 2000 2
stream /stream/ streaming assist 15000 1'
key_1=first-key-asnmgkcuyj8p
key_2=later-key-k7b2ex5wa5xw
key_other=other-key-pw3e9hdttt
unknown=unknown-key-8nbkxyhks

# Versions of the organisations: with the first key, with both, with the second.
organisations () {
	echo "[{\"name\": \"hule930\", \"apiKeys\": [$1], \"priority\": 3},
		{\"name\": \"ofvu\", \"apiKeys\": [\"$key_other\"]}]"
}
only_1=$(organisations "\"$key_1\"")
both=$(organisations "\"$key_1\", \"$key_2\"")
only_2=$(organisations "\"$key_2\"")
# A key of another organisation; no version has it.
duplicate=$(organisations "\"$key_2\", \"$key_other\"")

start_models --events 60 --event-ms 100
# One plain endpoint, so that its newest request is known.
control desk-2 state=gone
start_links
control desk-2 state=gone

code () {
	ask "$@" -o /dev/null -w '%{http_code}\n'
}
# A request with a key.
with () {
	key=$1
	shift
	code "$@" -H "Authorization: Token $key"
}
last () {
	curl -sS "http://$(model desk-1)/control/last"
}
# Prints what the endpoint has seen of a request that claims to be of another organisation.
seen () {
	code "$@" -H 'X-Hawthorncross-Tenant: forged' >"$work/code" && cat "$work/code"
	last
}
in_force () {
	test "$(curl -s "http://$(ip "$1"):8001/status" |
		sed 's/.*"configuration":\([0-9]*\).*/\1/')" = "$2"
}
write_version () {
	tenants=$2 write_config "$1" "$routes"
}

# Before a document is known nothing is said about keys.
front_settings 1
start front1 hc-front --settings "$work/front1.json"
expect 'without a document it is 503' code 1 /read/x <<\END
503
END
write_version 1 "$only_1"
wait_for is_ready 1
wait_for in_force 1 1

expect 'no route goes before no key' code 1 /other/ <<\END
404
END
for header in 'X-None: 1' "Authorization: Bearer $key_1" 'Authorization: Token' \
	"Authorization: Token $unknown" "Authorization: Token ${key_1}8" \
	"Authorization: Token ${key_1%?}"
do
	expect "401 with '$header'" code 1 /read/x -H "$header" <<\END
401
END
done
refusal () {
	ask 1 /read/x -D - | tr -d '\r' | grep -i '^HTTP\|^content-type\|^retry-after'
}
expect 'a refusal is a text without a time' refusal <<\END
HTTP/1.1 401 Unauthorized
Content-Type: text/plain
END
expect 'nothing of them reached the endpoint' last <<\END
tenant - priority - authorizations 0
END

wait_for eval 'test "$(with "$key_1" 1 /read/x)" = 200'
expect 'the endpoint gets the name of the organisation, and its priority' \
	seen 1 /read/x -H "Authorization: Token $key_1" <<\END
200
tenant hule930 priority 3 authorizations 0
END
expect 'the priority of the route applies where the organisation has none' \
	seen 1 /read/x -H "Authorization: Token $key_other" <<\END
200
tenant ofvu priority 0 authorizations 0
END
expect 'a public route needs no key' seen 1 /public/x <<\END
200
tenant - priority 0 authorizations 0
END
expect 'a public route takes an unknown key' \
	seen 1 /public/x -H "Authorization: Token $unknown" <<\END
200
tenant - priority 0 authorizations 0
END
expect 'a known key counts on a public route' \
	seen 1 /public/x -H "Authorization: Token $key_1" <<\END
200
tenant hule930 priority 3 authorizations 0
END

# Keys come and go on a connection that stays open.
start_front 2
engines_held () {
	test $(($(held 1) + $(held 2))) = 2
}
wait_for engines_held
# Sends requests with a key over one connection, 20 a second; each gives a line with its
# status and the number of connections opened for it.
connect () {
	curl -sS --rate 20/s --max-time 10 -o /dev/null \
		-w '%{stderr}%{http_code} %{num_connects}\n' \
		"http://$(ip 1):8000/read/[1-2000]" -H 'Host: front.example' \
		-H "X-Hawthorncross-Request-Id: $$-$1" \
		-H "Authorization: Token $2" >"$work/$1.out" 2>"$work/$1.err" &
	echo "$!" >"$work/$1.pid"
	started="$started $1"
}
gets () {
	test "$(tail -n 1 "$work/$1.err" | cut -d' ' -f1)" = "$2"
}
connect first "$key_1"
connect later "$key_2"
wait_for gets first 200
wait_for gets later 401

# A stream that the first key began, and that outlasts the key.
deadline=15000 ask 1 /stream/x --max-time 15 -X POST -d prompt \
	-H 'X-Hawthorncross-Model: base' -H 'X-Hawthorncross-Token-Count: 100,20' \
	-H "Authorization: Token $key_1" >"$work/stream" &
stream=$!
wait_for eval 'test "$(total running engine-1 engine-2)" = 1'

write_version 2 "$both"
wait_for gets later 200
write_version 3 "$only_2"
wait_for gets first 401
test "$(total running engine-1 engine-2)" = 1 ||
	fail 'the stream was not running any more when its key went'
kill_now first
kill_now later
statuses () {
	grep -o '^200\|^401' "$work/$1.err" | uniq
}
expect 'a removed key on an open connection' statuses first <<\END
200
401
END
expect 'an added key on an open connection, also when another one goes' statuses later <<\END
401
200
END
connections () {
	cut -d' ' -f2 "$work/$1.err" | sort | uniq -c | sed -n 's/^ *\([0-9]*\) 1$/\1/p'
}
expect 'each had one connection' eval 'connections first; connections later' <<\END
1
1
END
wait "$stream"
expect 'a request in flight keeps its table' grep -c '^data: ' "$work/stream" <<\END
60
END
grep -q '"event":"request".*"route":"stream".*"config":"1".*"organisation":"hule930"' \
	"$work/front1.out" || fail 'no log line names the organisation of the stream'
wait_for in_force 2 3
expect 'the other instance has the keys too' eval \
	'with "$key_1" 2 /read/x; with "$key_2" 2 /read/x' <<\END
401
200
END

# A document with a key twice is refused, and the version in force stays.
write_version 4 "$duplicate"
refused () {
	grep -q '"event":"configuration refused".*tenants\[1\].apiKeys' \
		"$work/front1.out" "$work/front2.out"
}
wait_for refused
expect 'the keys in force stay' eval \
	'with "$key_2" 1 /read/x; with "$key_1" 1 /read/x; with "$key_other" 1 /read/x' \
	<<\END
200
401
200
END

# Cut off from the store, an instance learns keys from the other one.
link store2 mode=silent
write_version 5 "$only_1"
wait_for in_force 1 5
wait_for in_force 2 5
expect 'keys come by way of another instance' eval \
	'with "$key_1" 2 /read/x; with "$key_2" 2 /read/x' <<\END
200
401
END
# Cut off from all, it knows the last document.
link peer1 mode=silent
link peer2 mode=silent
write_version 6 "$only_2"
wait_for in_force 1 6
expect 'cut off from all, it knows the last keys' eval \
	'with "$key_1" 2 /read/x; with "$key_2" 2 /read/x; with "$key_2" 1 /read/x' \
	<<\END
200
401
200
END
link store2 mode=open
link peer1 mode=open
link peer2 mode=open
wait_for in_force 2 6
expect 'back, it knows the new ones' eval \
	'with "$key_1" 2 /read/x; with "$key_2" 2 /read/x' <<\END
401
200
END

# What an instance prints names the reason, and no key.
for reason in 'no key' malformed 'unknown key'
do
	grep -q "\"event\":\"unauthorized\",\"id\":\"[^\"]*\",\"route\":\"read\",\"reason\":\"$reason\"" \
		"$work/front1.out" || fail "no log line with reason '$reason'"
done
for n in $instances
do
	for path in metrics status
	do
		curl -sS "http://$(ip "$n"):8001/$path" >"$work/$path$n"
	done
	curl -sS "http://$(ip "$n"):8001/metrics" |
	sed -n 's/^hc_unauthorized_total \(.*\)/\1/p' >"$work/unauthorized$n"
	grep -c '"event":"unauthorized"' "$work/front$n.out" |
	cmp -s - "$work/unauthorized$n" || fail "hc_unauthorized_total of $n is wrong"
done
grep -q '^hc_organisation_requests_total{organisation="hule930"} [1-9]' \
	"$work/metrics1" || fail 'requests of an organisation are not counted'
keys_shown () {
	grep -l "$key_1\|$key_2\|$key_other\|$unknown" "$work"/front[12].out \
		"$work"/front[12].err "$work"/metrics[12] "$work"/status[12]
}
expect 'no key is shown' keys_shown </dev/null
expect 'the endpoint never saw a key' eval 'last | cut -d" " -f5-' <<\END
authorizations 0
END

# Without organisations both headers pass.
write_version 7 ''
wait_for in_force 1 7
expect 'without organisations the headers pass' \
	seen 1 /read/x -H "Authorization: Token $unknown" <<\END
200
tenant forged priority 0 authorizations 1
END
finish
