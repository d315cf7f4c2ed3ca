# Shell functions for tests with complete instances, on top of deploy.sh.
#
# Each instance has its own loopback address, derived from the process ID of the
# shell, and the default ports, so that its settings need not give any port.
#
#	ip N				address of instance N
#	start_platform			key-value service and instance list
#	start_engines COUNT [OPTION...]	start engine stand-ins; 'port engines N' is
#					the port of the Nth
#	write_document			write $work/document.json with $endpoints,
#					each with $places concurrent requests, and
#					the additional $callers and $rounds
#	start_one [OPTION...]		start the platform, one engine and one
#					instance, and wait until it serves
#	start_instance N DOMAIN		start owner, entry and admin of instance N
#	commit_document			write the document and commit it
#	in_force GENERATION N...	status 0 if it is in force on instances N...
#	ask N TOKEN BODY [OPTION...]	request a completion from instance N
#	field NAME			value of a JSON field on standard input

. "$(dirname "$0")/../t/lib/deploy.sh"

network=127.$((1 + $$ / 250 % 200)).$((1 + $$ % 250))

ip () {
	echo "$network.$1"
}

sha256 () {
	printf %s "$1" | sha256sum | cut -d' ' -f1
}

start_platform () {
	start kv standin-kv
	start list standin-list
	echo 'a-membership-key-of-the-test' >"$work/key"
}

start_engines () {
	count=$1
	shift
	start_many "$count" engines standin-engine --count "$count" \
		--load-ms 20 --loads 50 "$@"
}

# endpoint ID SERVICE PORT DOMAIN MORE-FIELDS: an endpoint of the document
endpoint () {
	cat <<-END
	{"id": "$1", "service": "$2", "address": "127.0.0.1", "port": $3,
	 "region": "north", "failure_domain": "$4",
	 "concurrent_requests": ${places:-8}$5},
	END
}

engine () {
	endpoint "$1" assist "$2" "$3" \
		", \"adapter_slots\": 4, \"checks_fencing\": ${4:-false}"
}

write_document () {
	cat >"$work/document.json" <<-END
	{
		"format": 1,
		"batch_weight": 0.5,
		"regions": {"north": ["north-a", "north-b", "north-c"]},
		"base_models": {"base": {"adapters": [
			"note-{01..40}@1", "note-01@2", "other@1"]}},
		"services": [
			{"name": "assist", "kind": "engine",
			 "base_model": "base",
			 "weight_store": {"loads_per_second": 50,
				"loads_in_transit": 8}},
			{"name": "orders", "kind": "plain", "path": "/orders/"}
		],
		"endpoints": [$(echo "$endpoints" | sed '$s/,$//')],
		"callers": [
			{"name": "clerk", "priority": 5,
			 "token_sha256": ["$(sha256 clerk-token)"],
			 "adapters": ["note-*"], "services": ["orders"]}
			$callers
		],
		"operators": [
			{"name": "operator", "role": "editor",
			 "token_sha256": ["$(sha256 operator-token)"]}
		]$rounds
	}
	END
}

start_instance () {
	cat >"$work/i$1.json" <<-END
	{
		"instance": "i$1",
		"address": "$(ip "$1")",
		"region": "north",
		"failure_domain": "$2",
		"key_value_service": ["$(address kv)"],
		"instance_list": "$(address list)",
		"membership_key_file": "$work/key"
	}
	END
	sed 's/^{/{"bootstrap_token_sha256": "'"$(sha256 bootstrap)"'",/' \
		"$work/i$1.json" >"$work/a$1.json"
	start "owner$1" hc-owner --settings "$work/i$1.json"
	start "entry$1" hc-entry --settings "$work/i$1.json"
	start "admin$1" hc-admin --settings "$work/a$1.json"
}

# The generation on which the next commit is based.
generation=0

commit_document () {
	write_document
	token=operator-token
	test "$generation" -gt 0 || token=bootstrap
	HCCTL_TOKEN=$token "$bin/hcctl" --admin="$(ip "${1:-1}"):8002" \
		--generation="$generation" commit "$work/document.json" \
		>"$work/commit.out" 2>&1 ||
		fail "commit: $(cat "$work/commit.out")"
	generation=$((generation + 1))
}

status_of () {
	curl -s -m 5 "http://$(ip "$1"):$2/status"
}

in_force () {
	wanted=$1
	shift
	for n
	do
		status_of "$n" 8003 | grep -q "\"generation\":$wanted," &&
		status_of "$n" 8004 | grep -q "\"generation\":$wanted," ||
		return 1
	done
}

# Status 0 if instance N answers a request.
serves () {
	test "$(ask "$1" clerk-token '{"model":"note-40@1","prompt":"p",
		"max_tokens":1}' -o /dev/null -w '%{http_code}')" = 200
}

start_one () {
	start_platform
	start_engines 1 "$@"
	start_instance 1 north-a
	endpoints=$(engine assist-1 "$(port engines)" north-a)
	commit_document
	wait_for in_force 1 1
	wait_for serves 1
}

ask () {
	n=$1
	token=$2
	body=$3
	shift 3
	curl -s -m 60 "http://$(ip "$n"):8000/v1/completions" \
		-H "Authorization: Bearer $token" -d "$body" "$@"
}

field () {
	grep -o "\"$1\":\"[^\"]*\"" | head -n 1 | cut -d'"' -f4
}

# Print the ledgers of all engines, one per line.
ledgers () {
	n=1
	while test "$n" -le "$count"
	do
		curl -s "http://$(address engines "$n")/control/ledger"
		echo
		n=$((n + 1))
	done
}

violations () {
	ledgers | grep -o '"violations":\[[^]]*\]' | sort -u
}
