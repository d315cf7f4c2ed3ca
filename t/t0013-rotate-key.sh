#!/bin/sh
# Connections to the internal port without the membership key are refused and
# counted.  The key is then rotated in two steps under load, and no answer may be
# truncated.

. "$(dirname "$0")/lib/instances.sh"

instances='1 2 3'

start_platform
start_engines 3
start_instance 1 north-a
start_instance 2 north-b
start_instance 3 north-c
endpoints="$(engine assist-1 "$(port engines 1)" north-a true)
$(engine assist-2 "$(port engines 2)" north-b)
$(engine assist-3 "$(port engines 3)" north-c)"
commit_document
wait_for in_force 1 $instances
for n in $instances
do
	wait_for serves "$n"
done

refused () {
	curl -s "http://$(ip 1):8004/metrics" |
	sed -n 's/^hc_conn_refused_total{kind="unauthenticated"} //p'
}

# An owner counts a member as alive only if messages arrive in both directions.
agree () {
	for n in $instances
	do
		status_of "$n" 8004 | grep -q '"members":3[,}]' || return 1
	done
}

wait_for agree
curl -s -m 5 -o /dev/null "http://$(ip 1):8001/"
curl -sk -m 5 -o /dev/null "https://$(ip 1):8001/"
expect 'plain text and TLS without the key are refused' refused <<\END
2
END

# with_keys N KEY [PREVIOUS]: restart entry and owner of instance N with these keys
with_keys () {
	n=$1
	cat >"$work/i$n.json" <<-END
	{
		"instance": "i$n",
		"address": "$(ip "$n")",
		"region": "north",
		"failure_domain": "north-$(echo "$n" | tr 123 abc)",
		"key_value_service": ["$(address kv)"],
		"instance_list": "$(address list)",
		${3:+"\"previous_membership_key_file\": \"$work/$3\","}
		"membership_key_file": "$work/$2"
	}
	END
	stop "entry$n"
	test "$status" -eq 0 || fail "entry $n exited with status $status"
	stop "owner$n"
	test "$status" -eq 0 || fail "owner $n exited with status $status"
	start "owner$n" hc-owner --settings "$work/i$n.json"
	start "entry$n" hc-entry --settings "$work/i$n.json"
	wait_for in_force 1 "$n"
	wait_for serves "$n"
	wait_for agree
}

echo 'another-membership-key-of-the-test' >"$work/new_key"

"$bin/hc-load" --entry "$(ip 3):8000" --tokens clerk-token \
	--adapter-prefix note-1 --adapters 10 --duration 20 --callers 6 \
	--json "$work/result.json" >"$work/table" 2>&1 &
load=$!
with_keys 1 new_key key
echo 'ok: an instance with both keys connects to those with the old key only'
with_keys 2 new_key key
wait "$load"
value () {
	grep -o "\"$1\" *: *[0-9]*" "$work/result.json" | head -n 1 |
	grep -o '[0-9]*$'
}
test "$(value right)" -gt 0 || fail 'no request was answered'
expect 'no answer is truncated or wrong' eval 'value cut; value wrong' <<\END
0
0
END
with_keys 3 new_key key
echo 'ok: all instances have the new key'
for n in $instances
do
	with_keys "$n" new_key
done
echo 'ok: all instances run without the old key'
finish
