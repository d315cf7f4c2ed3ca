#!/bin/sh
# A server leaves without a word: its entry is removed, and it serves for
# drainMs and a little longer.  The watches that wait at the store at that
# moment are cut, as the store may do.  Exits with 1 if requests reach the
# server later than drainMs after the store's acknowledgement; see claim.txt.
. "$(dirname "$0")/../lib/common.sh"

drain=2000
begin
start_store
for id in desk-1-1 desk-2-1 engine-1-1 engine-2-1
do
	delete "servers/$id"
done
mkfifo "$work/commands"
exec 9<>"$work/commands"
start link "$rv/rv-storelink" "$record" "$network.200:0" "$store" "$work/commands"
wait_for printed link ^listening
store_for_fronts=$(address link)
for n in 1 2 3 4
do
	start "desk$n" "$rv/rv-server" "$record" "sound-$n" "$network.$((100 + n)):0" 30
	wait_for printed "desk$n" ^listening
	put "servers/sound-$n" "{\"service\":\"desk\",\"addr\":\"$(address "desk$n")\",
		\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",
		\"coldLeftMs\":0,\"seq\":1,\"born\":$(now)}"
done
configure 1 '{"name":"write","host":"front.example","prefix":"/write/","kind":"non_idempotent",
		"service":"desk","timeoutMs":1000,"goalMs":150,"priority":0,"attempts":1}' \
	'{"name":"desk","healthPath":"/health","maxConns":370}'
start_front 1
start_front 2
for n in 1 2
do
	start "client$n" "$rv/rv-client" "$record" "client$n" "$network.$n:8149" 8 32 60 \
		POST /write/x
done
# Longer than stableMs before each: both instances are in touch.
for n in 1 2 3
do
	sleep 6
	if test "$TROUBLE" != 0
	then
		echo "cut servers/sound-$n" >&9
	else
		echo "remove servers/sound-$n" >&9
	fi
	wait_for grep -q "removal of servers/sound-$n" "$record"
	# It serves for drainMs and a little longer, and exits.
	sleep 2.25
	stop_process "desk$n" KILL
done
wait "$(pid_of client1)" "$(pid_of client2)"

awk -v drain="$drain" '$3 == "acknowledged" { sub("servers/", "", $7); gone[$7] = $1 }
	$3 == "sent" { sent[$4] = $1 }
	$3 == "runs" && gone[$2] && $1 > gone[$2] + drain { print $2, $4, $1 - gone[$2], sent[$4] - gone[$2] }' \
	"$record" >"$work/late"
late=$(grep -c . "$work/late")
# What it was still running when it left.
lost=$(awk '$3 == "runs" { runs[$4] = 1 } $3 == "ran" { delete runs[$4] }
	$3 == "answered" && runs[$4] { print $4, $5 } $3 == "closed" && runs[$4] { print $4, "closed" }' \
	"$record" | grep -c .)
answered=$(grep -c ' answered [^ ]* 200 ' "$record")
while read -r server id after sent
do
	record "late: $id was sent $sent ms and reached $server $after ms after the acknowledgement"
done <"$work/late"
echo "late requests: $late, lost with the server: $lost, answered: $answered"
record "late requests: $late, lost with the server: $lost, answered: $answered"
test "$answered" -gt 0 || finish 2
test "$late" -eq 0 && finish 0
finish 1
