#!/bin/sh
# Soak: random external faults on hc-front processes under load.
#
#	SEED=7 SOAK_SECONDS=60 sh t/t0805-front-soak.sh
#
# Instances are killed, frozen, stopped and started; endpoints fail, refuse, also with
# a time of quiet, name request limits, cut their answers, restart, leave and say so in
# answers; the store is unreachable or silent, drops its history, loses answers and comes
# back from an older copy; orders are late; the configuration changes.  Links of
# an instance to the store, to each endpoint and from its peers are delayed, muted,
# cut in one direction, reset and silenced for good, and answers on them break off or
# stall after some bytes.  Faults overlap.  Clients send requests throughout, some of
# them on persistent connections.  Checked at the end, from the records of clients and
# endpoints:
#
#  - no request that may not be repeated ran twice;
#  - no refused request has run;
#  - no incomplete answer looked complete, and no answer had a byte of another;
#  - no order broke a rule of the engines;
#  - no instance sent a new request to an endpoint that had told it that it is leaving;
#  - requests are served again within the bound after the last fault, a return of the
#    store, and a change is in force.
#
# t0806 replays the seeds that failed once.
. "$(dirname "$0")/lib/front.sh"

SEED=${SEED:-1}
SOAK_SECONDS=${SOAK_SECONDS:-15}
# The platform's bound for recovery after all processes died.
RECOVERY_SECONDS=12
# A change has to be in force within this time.
CONFIG_SECONDS=2
CLIENTS=4
# Clients with a persistent connection, and the requests on each connection.
KEPT_CLIENTS=2
KEPT_REQUESTS=8
INSTANCES=3
instances='1 2 3'

# Pseudo-random numbers, determined by the seed.
random_state=$SEED
random () {
	random_state=$(((random_state * 1103515245 + 12345) % 2147483648))
	random_value=$((random_state / 65536 % $1))
}

# Separate states, so that the link faults don't change the sequence of the others.
link_state=$SEED
link_random () {
	other_state=$random_state
	random_state=$link_state
	random "$1"
	link_state=$random_state
	random_state=$other_state
}
peer_state=$SEED
peer_random () {
	other_state=$random_state
	random_state=$peer_state
	random "$1"
	peer_state=$random_state
	random_state=$other_state
}

cut_state=$SEED
cut_random () {
	other_state=$random_state
	random_state=$cut_state
	random "$1"
	cut_state=$random_state
	random_state=$other_state
}

standing_state=$SEED
standing_random () {
	other_state=$random_state
	random_state=$standing_state
	random "$1"
	standing_state=$random_state
	random_state=$other_state
}

history_state=$SEED
history_random () {
	other_state=$random_state
	random_state=$history_state
	random "$1"
	history_state=$random_state
	random_state=$other_state
}

start_models --events 12 --event-ms 15
start_links
write_config 1
for n in 1 2 3
do
	start_front "$n"
done
served () {
	for n in 1 2 3
	do
		test "$(adapter "$n" a1 -o /dev/null -w '%{http_code}')" = 200 ||
			return 1
	done
}
wait_for served

# The pieces of a stream; 1 for the body of a plain answer, and 0 for another body.
count_pieces () {
	case $1 in
	read) test "$(cat "$2" 2>/dev/null)" = 'GET /read/x 0' && echo 1 || echo 0 ;;
	write) test "$(cat "$2" 2>/dev/null)" = 'POST /write/x 5' && echo 1 || echo 0 ;;
	*) grep -c '^data: piece' "$2" 2>/dev/null ;;
	esac
}
# Each client writes a line per request: kind, identifier, HTTP status, exit status
# of curl, pieces.
client () {
	number=0
	while test ! -e "$work/end"
	do
		number=$((number + 1))
		id=c$1-$number-$SEED
		to=$((1 + (number + $1) % INSTANCES))
		case $(((number + $1) % 4)) in
		0) kind=write path=/write/x ;;
		1) kind=read path=/read/x ;;
		2) kind=stream path=/stream/x ;;
		3) kind=resume path=/resume/x ;;
		esac
		set -- "$1"
		test "$kind" = write && set -- "$@" -X POST -d order
		case $kind in
		stream|resume)
			set -- "$@" -X POST -d prompt -H 'X-Hawthorncross-Token-Count: 50,20' \
				-H "X-Hawthorncross-Model: base/a$((number % 7))" ;;
		esac
		me=$1
		shift
		status=$(curl -s --max-time 6 -o "$work/body$me" -w '%{http_code}' \
			"http://$(ip "$to"):8000$path" -H 'Host: front.example' \
			-H "X-Hawthorncross-Request-Id: $id" \
			-H 'X-Hawthorncross-Deadline-Ms: 3000' "$@")
		code=$?
		set -- "$me"
		pieces=$(count_pieces "$kind" "$work/body$me")
		echo "$kind $id $status $code ${pieces:-0}"
		rm -f "$work/body$me"
		sleep 0.02
	done >"$work/client$1"
}
# Only reads and resumable streams: curl itself repeats a request on a persistent
# connection that was closed without an answer.
kept_client () {
	number=0
	while test ! -e "$work/end"
	do
		number=$((number + 1))
		to=$((1 + (number + $1) % INSTANCES))
		me=$1
		set --
		for part in $(seq "$KEPT_REQUESTS")
		do
			id=k$me-$number-$part-$SEED
			test "$part" = 1 || set -- "$@" --next
			kind=read
			path=/read/x
			if test $((part % 2)) = 0
			then
				kind=resume
				path=/resume/x
				set -- "$@" -X POST -d prompt \
					-H 'X-Hawthorncross-Token-Count: 50,20' \
					-H "X-Hawthorncross-Model: base/a$((number % 7))"
			fi
			set -- "$@" -s --max-time 6 -o "$work/kept$me-$part" \
				-w "$kind $id %{http_code} %{exitcode} $part\n" \
				-H 'Host: front.example' \
				-H "X-Hawthorncross-Request-Id: $id" \
				-H 'X-Hawthorncross-Deadline-Ms: 3000' \
				"http://$(ip "$to"):8000$path"
		done
		curl "$@" | while read -r kind id status code part
		do
			pieces=$(count_pieces "$kind" "$work/kept$me-$part")
			echo "$kind $id $status $code ${pieces:-0}"
		done
		rm -f "$work/kept$me-"*
		set -- "$me"
	done >"$work/client-kept$1"
}
clients=
for n in $(seq "$KEPT_CLIENTS")
do
	kept_client "$n" &
	clients="$clients $!"
done
for n in $(seq "$CLIENTS")
do
	client "$n" &
	clients="$clients $!"
done

pick_front () {
	random "$INSTANCES"
	front=front$((random_value + 1))
}
pick_endpoint () {
	random 4
	case $random_value in
	0) endpoint=engine-1 ;;
	1) endpoint=engine-2 ;;
	2) endpoint=desk-1 ;;
	3) endpoint=desk-2 ;;
	esac
}
restart_front () {
	is_running "$1" && return
	"$bin/hc-front" --settings "$work/$1.json" </dev/null \
		>>"$work/$1.out" 2>>"$work/$1.err" &
	echo "$!" >"$work/$1.pid"
}
version=1
frozen=
event () {
	pick_front
	pick_endpoint
	random 16
	echo "$(date +%s) event $random_value $front $endpoint" >>"$work/events"
	case $random_value in
	0|1) is_running "$front" && kill_now "$front" ;;
	2) is_running "$front" && freeze "$front" && frozen="$frozen $front" ;;
	3) is_running "$front" && signal_to "$front" TERM ;;
	4) is_running "$front" && signal_to "$front" HUP ;;
	5) control store mode=silent ;;
	6) control store mode=refuse ;;
	7) control store compact=1 ;;
	8) control store lose=2 ;;
	9) control "$endpoint" mode=errors ;;
	10) control "$endpoint" mode=full ;;
	11) control "$endpoint" mode=cut ;;
	12) control "$endpoint" restart=1 ;;
	13) control "$endpoint" state=draining ;;
	14) control "$endpoint" late=2 ;;
	15) version=$((version + 1)) && write_config "$version" ;;
	esac
}
pick_link () {
	link_random 7
	set -- store1 store2 store3 $endpoints
	shift "$random_value"
	link=$1
}
link_event () {
	pick_link
	link_random 10
	echo "$(date +%s) link event $random_value $link" >>"$work/events"
	case $random_value in
	0) link "$link" delay_ms=200 ;;
	1) link "$link" mode=silent ;;
	2) link "$link" mode=mute_to ;;
	3) link "$link" mode=mute_from ;;
	4) link "$link" reset=1 ;;
	5) link "$link" kill=all ;;
	6) cut_link "$link" silent ;;
	7) cut_link "$link" reset ;;
	8) cut_link "$link" end ;;
	esac
}
# Within a head, a body or a page of items.
cut_link () {
	cut_random 700
	link "$1" "cut=$random_value&as=$2"
}
peer_event () {
	peer_random "$INSTANCES"
	peer=peer$((random_value + 1))
	peer_random 10
	echo "$(date +%s) peer event $random_value $peer" >>"$work/events"
	case $random_value in
	0) link "$peer" delay_ms=200 ;;
	1) link "$peer" mode=silent ;;
	2) link "$peer" mode=mute_to ;;
	3) link "$peer" mode=mute_from ;;
	4) link "$peer" reset=1 ;;
	5) link "$peer" kill=all ;;
	esac
}
leaving=
standing_event () {
	standing_random 4
	set -- $endpoints
	shift "$random_value"
	standing_random 8
	echo "$(date +%s) standing event $random_value $1" >>"$work/events"
	case $random_value in
	0) control "$1" leaving=1 && leaving="$leaving $1" ;;
	1|2) control "$1" "mode=full&quiet=$random_value" ;;
	3) control "$1" limit=3 ;;
	4) control "$1" limit= ;;
	esac
}
# Revisions that the store will give out again.
write_notes () {
	for note in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20
	do
		echo "$version" | put_item "op/note/$note"
	done
}
# The store comes back as it was some seconds ago; the operator and the endpoints write
# again what it has lost.
history_event () {
	history_random 12
	echo "$(date +%s) history event $random_value" >>"$work/events"
	case $random_value in
	0|1|2) control store save=1 ;;
	3) write_notes && control store 'mode=refuse&restore=listed' ;;
	4) write_notes && control store restore=listed && write_config "$version" ;;
	esac
}
# An endpoint that leaves is replaced by another incarnation.
mend_standing () {
	for left in $leaving
	do
		control "$left" restart=1
	done
	leaving=
}
mend_peer () {
	peer_random "$INSTANCES"
	mend_link "peer$((random_value + 1))"
}
# A mended link to an endpoint is reset, so that data delayed by the fault is lost.
# A delayed order would arrive after an order of the next holder, which the platform
# tolerates for 300 ms and the model does not.  Late orders are a fault of their own.
mend_link () {
	case $1 in
	store*|peer*) link "$1" 'mode=open&delay_ms=0&cut=0&as=none' ;;
	*) link "$1" 'mode=open&delay_ms=0&cut=0&as=none&reset=1' ;;
	esac
}
# Ends one of the faults, chosen at random.
mend () {
	random 4
	case $random_value in
	0) control store mode=up ;;
	1) pick_endpoint && control "$endpoint" mode=ok &&
		control "$endpoint" state=ready ;;
	2) for name in $frozen; do thaw "$name"; done && frozen= ;;
	3) for n in 1 2 3; do restart_front "front$n"; done ;;
	esac
}
control store save=1
end=$(($(date +%s) + SOAK_SECONDS))
while test "$(date +%s)" -lt "$end"
do
	event
	link_event
	peer_event
	standing_event
	history_event
	sleep 0.3
	mend
	pick_link
	mend_link "$link"
	mend_peer
	sleep 0.2
	mend
	standing_random 8
	test "$random_value" != 0 || mend_standing
done

# End all faults; then all requests have to be served again.
control store mode=up
write_config "$version"
mend_standing
for link in store1 store2 store3 peer1 peer2 peer3 $endpoints
do
	mend_link "$link"
done
for endpoint in $endpoints
do
	control "$endpoint" 'mode=ok&quiet=0&limit='
	control "$endpoint" state=ready
done
for name in $frozen front1 front2 front3
do
	is_running "$name" && thaw "$name"
done
all_run () {
	for n in 1 2 3
	do
		restart_front "front$n"
		is_ready "$n" || return 1
	done
}
within_seconds "$RECOVERY_SECONDS" all_run
within_seconds "$RECOVERY_SECONDS" served
# Whatever the store has forgotten, a change is in force in time.
control store save=1
write_notes
sleep 1
control store restore=listed
write_config "$((version + 1))" "$default_routes
last /last/ idempotent desk 1000 2"
last_in_force () {
	for n in 1 2 3
	do
		test "$(ask "$n" /last/x -o /dev/null -w '%{http_code}')" = 200 ||
			return 1
	done
}
within_seconds "$CONFIG_SECONDS" last_in_force
touch "$work/end"
wait $clients
cat "$work"/client* >"$work/requests"

total_of () {
	grep -c "$1" "$work/requests"
}
echo "# seed $SEED: $(wc -l <"$work/requests") requests," \
	"$(awk '$3 == 200 && $4 == 0' "$work/requests" | wc -l) whole," \
	"$(awk '$3 == 503' "$work/requests" | wc -l) refused"
test "$(awk '$3 == 200 && $4 == 0' "$work/requests" | wc -l)" -gt 20 ||
	fail 'too few requests were served'

expect "seed $SEED: no order broke a rule" total broken engine-1 engine-2 <<\END
0
END
for id in desk-1 desk-2 engine-1 engine-2
do
	curl -s "http://$(model "$id")/control/ids"
done | sort >"$work/ran"
awk '$1 == "write" || $1 == "stream" { print $2 }' "$work/requests" |
	sort >"$work/once"
ran_twice () {
	uniq -d "$work/ran" | comm -12 - "$work/once"
}
expect "seed $SEED: no request ran twice that must not" ran_twice <<\END
END
awk '($1 == "write" || $1 == "stream") && $3 == 503 { print $2 }' \
	"$work/requests" | sort >"$work/refused"
refused_and_ran () {
	sort -u "$work/ran" | comm -12 - "$work/refused"
}
expect "seed $SEED: no refused request has run" refused_and_ran <<\END
END
# The setting drain_ms: an endpoint that leaves gets requests for so long.
DRAIN_MS=2000
sent_to_leaving () {
	for n in $instances
	do
		sed -n 's/.*"ts":\([0-9]*\),.*"event":"started".*/\1 started/p
			s/.*"ts":\([0-9]*\),.*"event":"endpoint says it is leaving","endpoint":"\([^"]*\)".*/\1 leaving \2/p
			s/.*"ts":\([0-9]*\),.*"event":"request".*"outcome":"answered".*"ms":"\([0-9]*\)".*"endpoint":"\([^"]*\)".*/\1 request \3 \2/p' \
			"$work/front$n.out" |
		awk -v instance="$n" -v drain="$DRAIN_MS" '
			$2 == "started" { split("", left) }
			$2 == "leaving" && !($3 in left) { left[$3] = $1 }
			$2 == "request" && $3 in left &&
				$1 - $4 > left[$3] + drain { print instance, $0 }'
	done
}
expect "seed $SEED: no new request went to an endpoint that leaves" sent_to_leaving <<\END
END
looked_whole () {
	awk '$3 == 200 && $4 == 0 &&
		$5 != ($1 == "stream" || $1 == "resume" ? 12 : 1)' "$work/requests"
}
expect "seed $SEED: no incomplete answer looked complete" looked_whole <<\END
END
finish
