#!/bin/sh
# Instances reach each other's engines again, and no place at an engine stays taken,
# after the connections between them went silent without a reset.
. "$(dirname "$0")/lib/front.sh"

start_models
instances='1 2'
start_links
write_config 1
for n in $instances
do
	start_front "$n"
done
wait_for engines_shared

served_everywhere () {
	for n in 1 2 3 4
	do
		adapter $((1 + n % 2)) "a$n" -o /dev/null -w '%{http_code}\n'
	done | sort | uniq -c | tr -s ' '
}
expect 'both instances reach both engines' served_everywhere <<\END
 4 200
END
# Requests that run while the connections go silent.
for n in 1 2 3 4
do
	adapter $((1 + n % 2)) "a$n" -o /dev/null &
	running="$running $!"
done
sleep 0.05
for n in $instances
do
	link "peer$n" kill=all
done
wait $running
# A connection is given up 2 s after it went silent, once something is sent over it.
served_everywhere >"$work/first"
sleep 1.2
served_everywhere >"$work/second"
sleep 1.2
silent () {
	cat "$work/front1.out" "$work/front2.out" | grep -c '"event":"holder silent"'
}
before=$(silent)
expect 'both instances reach both engines again' served_everywhere <<\END
 4 200
END
test "$(silent)" = "$before" || fail 'a holder is still silent'
taken () {
	for n in $instances
	do
		curl -s "http://$(ip "$n"):8001/status" | grep -o '"admissions":[0-9]*'
	done
}
expect 'no place at an engine is taken' taken <<\END
"admissions":0
"admissions":0
END
finish
