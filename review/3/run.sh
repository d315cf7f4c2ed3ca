#!/bin/sh
# One part of a prompt crashes each model server that begins to write an answer
# on it; the server is back 2 s later under the id that it had.  Two servers,
# two instances, prompts of four parts of one adapter.  Exits with 1 if more
# than three requests with the part reach servers later than stableMs after the
# fifth crash; see claim.txt.  PARTS, POSITION and ENGINES vary it.
. "$(dirname "$0")/../lib/common.sh"

position=${POSITION:-2}
parts_count=${PARTS:-3}
begin
start_store
for id in desk-1-1 desk-2-1 engine-1-1 engine-2-1
do
	delete "servers/$id"
done

launch_engine () {
	start "engine$1" "$rv/rv-server" "$record" "engine-$1" "$network.$((100 + $1)):8500" 100 0 dead
	put "servers/engine-$1" "{\"service\":\"assist\",\"addr\":\"$network.$((100 + $1)):8500\",
		\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",
		\"coldLeftMs\":0,\"seq\":1,\"born\":$(now),
		\"models\":[{\"name\":\"base\",\"version\":1,\"adapters\":[]}]}"
}
engines=${ENGINES:-1 2}
for n in $engines
do
	launch_engine "$n"
done
configure 1 '{"name":"chat","host":"front.example","prefix":"/stream/","kind":"streaming",
		"service":"assist","timeoutMs":3000,"goalMs":800,"priority":0,"attempts":1}' \
	'{"name":"assist","healthPath":"/health","maxConns":370,
		"engine":{"slots":64,"adapterSlots":29,"weightsMb":36000,"models":[{"name":"base",
		"weightsMb":34300.0,"loadS":1.3,"adapters":100,"adapterMb":40.0}]}}'
start_front 1
start_front 2

# Shared parts and the request's own; sound prompts differ in one part.
prompt () {
	parts=
	for n in $(seq $parts_count)
	do
		test "$n" = "$position" && parts="$parts$1:5," || parts="$parts$(printf 5c%02x "$n"):5,"
	done
	echo "X-Hawthorncross-Prompt-Prefix: ${parts}@:20"
}
sleep 7
for n in 1 2
do
	start "sound$n" "$rv/rv-client" "$record" "sound$n" "$network.$n:8149" 4 62 250 \
		POST /stream/x "$(prompt 6aaa)" 'X-Hawthorncross-Model: base/a1' \
		'X-Hawthorncross-Token-Count: 215,20'
done
sleep 3
if test "$TROUBLE" != 0
then
	for n in 1 2
	do
		sleep 4
		start "deadly$n" "$rv/rv-client" "$record" "deadly$n" "$network.$n:8149" 1 56 8000 \
			POST /stream/x "$(prompt dead)" 'X-Hawthorncross-Model: base/a1' \
			'X-Hawthorncross-Token-Count: 215,20'
	done
fi
# A crashed server is back after 2 s.
until=$(($(now) + 56000))
while test "$(now)" -lt "$until"
do
	for n in $engines
	do
		is_running "engine$n" && continue
		eval "back=\${back_$n:-0}"
		if test "$back" = 0
		then
			eval "back_$n=$(($(now) + 2000))"
		elif test "$(now)" -ge "$back"
		then
			eval "back_$n=0"
			launch_engine "$n"
		fi
	done
	sleep 0.1
done

crashes=$(grep -c ' crashes-at ' "$record")
fifth=$(grep ' crashes-at ' "$record" | sed -n '5s/ .*//p')
reached=$(awk -v fifth="${fifth:-0}" 'fifth && $3 == "arrived-deadly" && $1 > fifth + 3000' "$record" | grep -c .)
answered=$(grep -c ' answered sound[^ ]* 200 ' "$record")
cut=$(grep -c ' closed sound' "$record")
record "crashes: $crashes; requests with the part later than stableMs after the fifth: $reached; sound: $answered answered, $cut cut"
echo "crashes: $crashes, reached: $reached, sound answered: $answered, cut: $cut"
test "$answered" -gt 0 || finish 2
test "$reached" -le 3 && finish 0
finish 1
