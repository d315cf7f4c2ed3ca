# Shell functions for tests of hc-front against models of the platform; includes
# deploy.sh.
#
#	ip N				address of instance N
#	start_models [OPTION...]	standin-platform; 'model ID' prints the address
#					of an endpoint
#	write_config VERSION [ROUTE...]	writes a configuration; a route is
#					NAME PREFIX KIND SERVICE TIMEOUT ATTEMPTS;
#					one named 'public' needs no key; $tenants is
#					the JSON text of the organisations, if set
#	start_front N			starts hc-front as instance N; waits until ready
#	is_ready N			status 0 if the instance reports to be ready
#	engines_shared			status 0 if instances 1 and 2 hold one engine
#					each
#	ask N PATH [CURL-OPTION...]	sends a request through instance N
#	adapter N NAME [OPTION...]	requests a stream of an adapter through
#					instance N
#	control ID QUERY		sets a fault of a model ('store' or an id)
#	start_links			starts standin-proxy with links to the store,
#					one for each of $instances, to each endpoint,
#					and from the peers to each of $instances
#	link NAME QUERY			sets a fault of a link (store1, engine-1,
#					peer1 ...)
#	ledger ID			prints what has run at the model
#	total FIELD ID...		prints the sum of a field of ledgers

. "$(dirname "$0")/../t/lib/deploy.sh"

network=127.$((1 + $$ / 250 % 200)).$((1 + $$ % 250))

ip () {
	echo "$network.$1"
}

# Starts models of two engines, two plain endpoints and the store.
start_models () {
	start_many 5 platform standin-platform "$@"
}

# Prints the address of the model of an endpoint, or of the store.
model () {
	case "$1" in
	store)
		pattern='^listening \(127[0-9.:]*\)$' ;;
	*)
		pattern="^listening $1 \\(.*\\)\$" ;;
	esac
	sed -n "s/$pattern/\\1/p" "$work/platform.out"
}

endpoints='engine-1 engine-2 desk-1 desk-2'

# Prints the address of a link.
link_address () {
	sed -n "s/^listening $1 \\(127.*\\)\$/\\1/p" "$work/links.out"
}

start_links () {
	set --
	for n in $instances
	do
		set -- "$@" "store$n=$(model store)" "peer$n=$(ip "$n"):8002"
	done
	for endpoint in $endpoints
	do
		set -- "$@" "$endpoint=$(model "$endpoint")"
	done
	start_many $(($# + 1)) links standin-proxy "$@"
	for endpoint in $endpoints
	do
		control "$endpoint" \
			"state=ready&listed=$(link_address "$endpoint")"
	done
}

link () {
	curl -sS -X POST -o /dev/null \
		"http://$(sed -n 's/^listening \(127.*\)$/\1/p' \
			"$work/links.out")/control?link=$1&$2"
}

# Prints the address by which instance N reaches the store.
store_of () {
	if test -f "$work/links.out"
	then
		link_address "store$1"
	else
		model store
	fi
}

# Prints the address by which the other instances reach instance N.
peer_of () {
	if test -f "$work/links.out"
	then
		link_address "peer$1"
	else
		echo "$(ip "$1"):8002"
	fi
}

put_item () {
	curl -sS -X PUT "http://$(model store)/control?key=$1" \
		--data-binary @- -o /dev/null
}

default_routes='stream /stream/ streaming assist 3000 1
resume /resume/ streaming assist 3000 2
write /write/ non_idempotent desk 1000 1
read /read/ idempotent desk 1000 2'

write_config () {
	version=$1
	routes=${2:-$default_routes}
	{
		echo "{\"version\": $version, ${tenants:+\"tenants\": $tenants,}"
		echo '"routes": ['
		echo "$routes" | while read -r name prefix kind service timeout attempts
		do
			more=
			test "$name" = resume && more=', "resumable": true'
			test "$name" = public && more=', "public": true'
			echo "$separator{\"name\": \"$name\", \"host\": \"front.example\",
				\"prefix\": \"$prefix\", \"kind\": \"$kind\",
				\"service\": \"$service\", \"timeoutMs\": $timeout,
				\"goalMs\": 200, \"priority\": 0,
				\"attempts\": $attempts$more}"
			separator=,
		done
		echo '], "services": [
			{"name": "desk", "healthPath": "/health", "maxConns": 100},
			{"name": "assist", "healthPath": "/health", "maxConns": 100,
			 "engine": {"slots": 16, "adapterSlots": 4,
				"weightsMb": 36000, "models": [{"name": "base",
				"weightsMb": 30000.0, "adapterMb": 40.0}]}}],
		"limits": {"maxHeaderBytes": 4096, "maxBodyBytes": 65536,
			"headerTimeoutMs": 1000, "idleTimeoutMs": 5000}}'
	} | put_item op/config
}

front_settings () {
	settings "front$1" <<-END
	// An instance of the test.
	{
		"instance": "front-$1",
		"address": "$(ip "$1")",
		"region": "north",
		"failure_domain": "north-a",
		"callers_listen": "$(ip "$1"):8000",
		"ready_listen": "$(ip "$1"):8001",
		"owner_port": 8002,
		"peer_address": "$(peer_of "$1")",
		"key_value_service": ["$(store_of "$1")"],
		"grace_s": 6,
		"order_gap_ms": 300,
		"lease_ttl_ms": 1000,
		"adapter_load_ms": 40
	}
	END
}

is_ready () {
	test "$(curl -s -o /dev/null -w '%{http_code}' --max-time 2 \
		"http://$(ip "$1"):8001/ready")" = 200
}

start_front () {
	test -f "$work/front$1.json" || front_settings "$1"
	start "front$1" hc-front --settings "$work/front$1.json"
	wait_for is_ready "$1"
}

request=0
ask () {
	to=$1
	path=$2
	shift 2
	request=$((request + 1))
	curl -sS --max-time 10 "http://$(ip "$to"):8000$path" \
		-H "Host: ${host:-front.example}" \
		-H "X-Hawthorncross-Request-Id: $$-$request-$(date +%N)" \
		-H "X-Hawthorncross-Deadline-Ms: ${deadline:-5000}" "$@"
}

adapter () {
	to=$1
	name=$2
	shift 2
	ask "$to" "${path_of_stream:-/stream/}x" -X POST -d prompt \
		-H "X-Hawthorncross-Model: base/$name" \
		-H 'X-Hawthorncross-Token-Count: 100,20' "$@"
}

control () {
	curl -sS -X POST "http://$(model "$1")/control?$2" -o /dev/null
}

ledger () {
	curl -sS "http://$(model "$1")/control/ledger"
}

total () {
	field=$1
	shift
	for id in "$@"
	do
		ledger "$id"
	done | sed "s/.*\"$field\":\\([0-9]*\\).*/\\1/" |
	awk '{ sum += $1 } END { print sum }'
}

held () {
	curl -s "http://$(ip "$1"):8001/status" |
	grep -o '"engine-[12]-1":' | wc -l
}
engines_shared () {
	test "$(held 1)" = 1 && test "$(held 2)" = 1
}
