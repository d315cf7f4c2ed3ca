#!/bin/sh
# An entry of another writer among those of the servers; two instances under
# load, with sound servers.  Exits with 1 if instances end by themselves and
# requests are lost with them; see claim.txt.
. "$(dirname "$0")/../lib/common.sh"

begin
start_store
# The endpoints of the store's program are not used here.
for id in desk-1-1 desk-2-1 engine-1-1 engine-2-1
do
	delete "servers/$id"
done
for n in 1 2
do
	start "desk$n" "$rv/rv-server" "$record" "sound-$n" "$network.$((100 + n)):0" 200
	wait_for printed "desk$n" ^listening
	put "servers/sound-$n" "{\"service\":\"desk\",\"addr\":\"$(address "desk$n")\",
		\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",
		\"coldLeftMs\":0,\"seq\":1,\"born\":$(now)}"
done
configure 1 '{"name":"read","host":"front.example","prefix":"/read/","kind":"idempotent",
		"service":"desk","timeoutMs":1000,"goalMs":400,"priority":0,"attempts":2},
	{"name":"write","host":"front.example","prefix":"/write/","kind":"non_idempotent",
		"service":"desk","timeoutMs":1000,"goalMs":400,"priority":0,"attempts":1}' \
	'{"name":"desk","healthPath":"/health","maxConns":370}'
start_front 1
start_front 2
for n in 1 2
do
	start "client$n" "$rv/rv-client" "$record" "client$n" "$network.$n:8149" 8 26 250 \
		POST /write/x
done
# Longer than stableMs: both instances are in touch.
sleep 6
if test "$TROUBLE" != 0
then
	record "another writer's entry at servers/other-1"
	put servers/other-1 '{"service":"desk","addr":"127.255.255.255:8142",
		"zone":"zone-a","slots":64,"state":"ready"}'
fi
# The platform starts a process that has ended again after a short delay.
ends=0
until=$(($(now) + 16000))
while test "$(now)" -lt "$until"
do
	for n in 1 2
	do
		is_running "front$n" && continue
		wait "$(pid_of "front$n")" 2>/dev/null
		record "front-$n has ended by itself, status $?"
		ends=$((ends + 1))
		sleep 0.5
		launch_front "$n"
	done
	sleep 0.1
done
wait "$(pid_of client1)" "$(pid_of client2)"

# Requests of kept connections that a sound server had begun, and whose
# connection was closed without an answer.
lost=$(awk '$3 == "sent" && $5 == "kept" { kept[$4] = 1 }
	$3 == "runs" { begun[$4] = 1 }
	$3 == "closed" && kept[$4] && begun[$4] { lost++ }
	END { print lost + 0 }' "$record")
answered=$(grep -c ' answered [^ ]* 200 ' "$record")
record "ends of instances by themselves: $ends; lost on kept connections: $lost; answered: $answered"
echo "ends by themselves: $ends, lost: $lost, answered: $answered"
test "$answered" -gt 0 || finish 2
test "$lost" -le 3 && test "$ends" -le 5 && finish 0
finish 1
