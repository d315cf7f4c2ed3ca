#!/bin/sh
# Test the administration API: validation, the first commit, two racing commits,
# permissions, a key-value service that loses responses, and TLS.
. "$(dirname "$0")/lib/deploy.sh"

hash_of () {
	printf '%s' "$1" | sha256sum | cut -d' ' -f1
}

admin_settings () {
	settings "$1" <<END
{
	/* the instance of this test */
	"instance": "$1",
	"address": "127.0.0.1",
	"region": "north",
	"failure_domain": "north-a",
	"admin_port": 0,
	"admin_status_port": 0,
	"key_value_service": ["$(address kv)"],
	"membership_key_file": "$work/key",
	"bootstrap_token_sha256": "$(hash_of first)"$2
}
END
}

ctl () {
	HCCTL_TOKEN=$token "$bin/hcctl" --admin="$(address "$admin")" "$@"
}

# Status 0 if 'hcctl status' shows generation $1 as the newest known.
in_force () {
	ctl status | grep -q "newest known here: $1\$"
}

# Commit two documents concurrently; one is accepted, the other gets a conflict.
race () {
	ctl --generation=1 commit "$work/a.json" >"$work/race.a" 2>&1 &
	a=$!
	ctl --generation=1 commit "$work/b.json" >"$work/race.b" 2>&1 &
	b=$!
	wins=0
	wait "$a" && wins=$((wins + 1))
	wait "$b" && wins=$((wins + 1))
	echo "$wins accepted"
	cat "$work/race.a" "$work/race.b" | sort | sed 's/by .*/by SOMEONE/'
}

echo 'a-membership-key-of-the-test' >"$work/key"
start kv standin-kv
admin_settings one ""
admin_settings two ""
start one hc-admin --settings="$work/one.json"
start two hc-admin --settings="$work/two.json"
admin=one
token=first

expect "--check accepts valid settings" \
	"$bin/hc-admin" --check --settings "$work/one.json" </dev/null
expect "offline validation" ctl --offline validate etc/kapok.json <<\END
valid
END
sed -e 's/"port": 8080/"prot": 8080/' -e 's/0.7/7/' etc/kapok.json \
	>"$work/faulty.json"
expect "validation lists all faults" ctl validate "$work/faulty.json" <<\END
batch_weight: 7 is out of range; give a value from 0 to 1
endpoints[9].prot: unknown key; remove it, or did you mean 'port'?
endpoints[9].port: missing; add it
endpoints[10].prot: unknown key; remove it, or did you mean 'port'?
endpoints[10].port: missing; add it
endpoints[11].prot: unknown key; remove it, or did you mean 'port'?
endpoints[11].port: missing; add it
7 faults
END
expect "a faulty document is refused" ctl -g 0 commit "$work/faulty.json" <<\END
batch_weight: 7 is out of range; give a value from 0 to 1
endpoints[9].prot: unknown key; remove it, or did you mean 'port'?
endpoints[9].port: missing; add it
endpoints[10].prot: unknown key; remove it, or did you mean 'port'?
endpoints[10].port: missing; add it
endpoints[11].prot: unknown key; remove it, or did you mean 'port'?
endpoints[11].port: missing; add it
hcctl: invalid: the document has faults; correct those listed
END
expect "the bootstrap token commits the first document" \
	ctl -g 0 commit etc/kapok.json <<\END
accepted as generation 1
END

token=example-operations
wait_for in_force 1
admin=two
wait_for in_force 1
admin=one
token=first
expect "the bootstrap token is invalid after the first commit" ctl history <<\END
hcctl: unauthenticated: no operator has this token; send 'Authorization: Bearer TOKEN'
END
token=example-audit
expect "a viewer may not commit" ctl -g 1 commit etc/kapok.json <<\END
hcctl: forbidden: this operator may not commit; ask one with the role "editor"
END
expect "a viewer may not read the document" ctl show <<\END
hcctl: forbidden: this operation needs the role "editor"; ask an operator who has it
END

token=example-operations
sed 's/"batch_weight": 0.7/"batch_weight": 0.8/' etc/kapok.json >"$work/a.json"
sed 's/"batch_weight": 0.7/"batch_weight": 0.8/' etc/kapok.json |
	sed 's/"priority": 4/"priority": 3/' >"$work/b.json"
expect "diff lists the differences" ctl diff "$work/b.json" <<\END
changed batch_weight - 0.7 + 0.8
changed callers[procurement].priority - 4 + 3
2 differences from generation 1
END
ctl show >"$work/shown.json" 2>/dev/null
expect "show returns the document byte for byte" cmp etc/kapok.json "$work/shown.json" \
	</dev/null
race >"$work/race"
expect "one of two racing commits is accepted" grep -c \
	-e '^1 accepted$' -e '^accepted as generation 2$' \
	-e '^generation 2 is by SOMEONE$' \
	-e '^changed callers\[procurement\].priority ' \
	-e '^hcctl: conflict: another document was accepted meanwhile' \
	"$work/race" <<\END
5
END

curl -sS "http://$(address kv)/control?lose=1" >/dev/null
expect "a commit survives a lost response" ctl -g 2 -n "back to the first" \
	commit etc/kapok.json <<\END
accepted as generation 3
END
wait_for in_force 3
admin=two
wait_for in_force 3
admin=one
history_of () {
	ctl history | cut -d' ' -f1,3-
}
expect "the history lists all commits" history_of <<\END
3 operations back to the first
2 operations 
1 bootstrap 
END
expect "diff against an older generation" ctl -g 1 diff etc/kapok.json <<\END
0 differences from generation 1
END
curl -sS "http://$(address kv)/control?outage=refuse" >/dev/null
expect "an outage of the key-value service is reported" ctl history <<\END
hcctl: unavailable: the key-value service doesn't answer; try again later
END
curl -sS "http://$(address kv)/control?outage=up" >/dev/null

# Send a request with curl and print the HTTP status and the error type.
raw () {
	path=$1
	shift
	curl -sS -o "$work/raw" -w '%{http_code} ' "$@" "http://$(address one)$path" &&
	sed 's/.*"type":"\([a-z_]*\)".*/\1/' "$work/raw"
	echo
}

bad_requests () {
	bearer="Authorization: Bearer $token"
	raw /admin/document -X PUT -d @etc/kapok.json
	raw /admin/document -X PUT -d @etc/kapok.json -H "$bearer"
	raw /admin/document -X PUT -d @etc/kapok.json -H "$bearer" \
		-H 'If-Match: "three"'
	raw '/admin/document?generation=0' -H "$bearer"
	raw '/admin/document?generation=99' -H "$bearer"
	raw /admin/diff -H "$bearer" -d '{'
	printf '\377' | raw /admin/document -X PUT -H "$bearer" \
		-H 'If-Match: 3' --data-binary @-
	head -c 100000 /dev/zero | tr '\0' '[' |
		raw /admin/document -X PUT -H "$bearer" -H 'If-Match: 3' \
			--data-binary @-
	raw /console/nothing
}
expect "bad requests get a typed error" bad_requests <<\END
401 unauthenticated
400 invalid
400 invalid
400 invalid
404 not_found
400 invalid
400 invalid
400 invalid
404 not_found
END
# Send the body only after '100 Continue'.  Otherwise the server may close the
# connection while curl still sends, and curl reports that instead of the response.
too_large () {
	head -c 9000000 /dev/zero |
		raw /admin/validate -H "Authorization: Bearer $token" \
			-H 'Expect: 100-continue' --expect100-timeout 30 \
			--data-binary @- | cut -d' ' -f1
}
expect "a body that is too large is refused" too_large <<\END
413
END

put_record () {
	key=$(printf '%s' "$1" | base64 -w 0)
	value=$(printf '%s' "$2" | base64 -w 0)
	curl -sS -d "{\"key\": \"$key\", \"value\": \"$value\"}" \
		"http://$(address kv)/v3/kv/put" >/dev/null
}

status_address () {
	sed -n 's/^status //p' "$work/$1.out"
}

status_of () {
	ctl status |
	sed "s/$(status_address one)/ONE/; s/$(status_address two)/TWO/"
}

put_record hc/instance/one "{\"http\": {\"hc-admin\": \"$(status_address one)\"}}"
put_record hc/instance/two "{\"http\": {\"hc-admin\": \"$(status_address two)\",
	\"hc-entry\": \"127.0.0.1:1\", \"hc-owner\": \"nowhere\"}}"
put_record hc/instance/zzz "not JSON"
expect "status lists the generation in force on each instance" status_of <<\END
newest known here: 3
one hc-admin ONE 3
two hc-admin TWO 3
two hc-entry 127.0.0.1:1 - no connection; check that the server runs and is reachable
two hc-owner nowhere - its address is not IP:PORT
END
expect "an unknown trace" \
	ctl trace 4bf92f3577b34da6a3ce929d0e0e4736 <<\END
two hc-entry: no connection; check that the server runs and is reachable
two hc-owner: its address is not IP:PORT
0 spans
END
expect "an invalid trace identifier" ctl trace xyz <<\END
hcctl: invalid: the query's trace must be 32 lower-case hexadecimal digits
END

page () {
	curl -sS "http://$(address one)/console" | grep -c '<script src="/console/console.js">'
}
expect "the console is served" page <<\END
1
END

lib/admin/console/generate >"$work/console_data.c"
expect "console_data.c matches the console's files" \
	cmp "$work/console_data.c" lib/admin/console_data.c </dev/null

openssl req -x509 -newkey rsa:2048 -nodes -days 1 -subj /CN=hc-admin \
	-addext 'subjectAltName=IP:127.0.0.1' \
	-keyout "$work/key.pem" -out "$work/certificate.pem" 2>/dev/null
admin_settings tls ", \"tls_certificate\": \"$work/certificate.pem\",
	\"tls_key\": \"$work/key.pem\""
start tls hc-admin --settings="$work/tls.json"
admin=tls
tls_in_force () {
	ctl --tls --authorities="$work/certificate.pem" status |
	grep -q "newest known here: 3\$"
}
wait_for tls_in_force
expect "an untrusted certificate is refused" ctl --tls status <<\END
hcctl: unavailable: no connection; check that the server runs and is reachable
END
stop one
expect "a planned stop exits with status 0" echo "$status" <<\END
0
END
finish
