#!/bin/sh
# Answers of engines and of the store whose length or transfer coding has a wrong byte.
# Guards against such an answer to an order, a report or a call of the store that ends the
# process (review/6).
. "$(dirname "$0")/lib/front.sh"

instances='1 2'
start_models
start_links
write_config 1
start_front 1
start_front 2
wait_for engines_shared

served () {
	test "$(adapter "$1" "$2" -o /dev/null -w '%{http_code}')" = 200
}
for n in 1 2
do
	wait_for served "$n" a1
done

# One in three answers of the engines, one in five of the store.
for name in engine-1 engine-2
do
	link "$name" spoil=3
done
link store1 spoil=5
link store2 spoil=5
n=0
while test "$n" -lt 30
do
	n=$((n + 1))
	adapter $((1 + n % 2)) "b$n" -o /dev/null &
	ask $((1 + n % 2)) /write/x -d order -o /dev/null -w '%{http_code}\n' \
		>>"$work/writes"
done 2>"$work/requests.err"
wait_for test "$(wc -l <"$work/writes")" = 30
expect 'requests of other endpoints are answered' \
	sh -c "sort '$work/writes' | uniq -c | tr -s ' '" <<\END
 30 200
END
refused () {
	grep -h '"event":"answer refused"' "$work/front1.out" "$work/front2.out" |
	grep -q 'transfer coding\|Content-Length'
}
wait_for refused

for name in engine-1 engine-2 store1 store2
do
	link "$name" spoil=0
done
for n in 1 2
do
	within_seconds 10 served "$n" "c$n"
done
finish
