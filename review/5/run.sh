#!/bin/sh
# One of two servers spoils 2 in 100 of its answers for 5.5 s; two instances
# under load.  Exits with 1 if a client gets a success whose body isn't the
# server's; see claim.txt.
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
	test "$n" = 1 && id=faulty-1 || id=sound-2
	start "desk$n" "$rv/rv-server" "$record" "$id" "$network.$((100 + n)):0" 30 50
	wait_for printed "desk$n" ^listening
	put "servers/$id" "{\"service\":\"desk\",\"addr\":\"$(address "desk$n")\",
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
	start "client$n" "$rv/rv-client" "$record" "client$n" "$network.$n:8149" 8 26 100 \
		POST /write/x
done
# Longer than stableMs: both instances are in touch.
sleep 6
if test "$TROUBLE" != 0
then
	stop_process desk1 USR1
fi
sleep 5.5
stop_process desk1 USR2
wait "$(pid_of client1)" "$(pid_of client2)"

# The servers answer each request with the body "done".
mixed=$(awk '$3 == "answered" && $5 == 200 && ($6 != 5 || $7 != "done")' "$record" | grep -c .)
answered=$(grep -c ' answered [^ ]* 200 ' "$record")
record "successes with another body than the server's: $mixed; answered: $answered"
echo "successes with another body: $mixed, answered: $answered"
test "$answered" -gt 0 || finish 2
test "$mixed" -eq 0 && finish 0
finish 1
