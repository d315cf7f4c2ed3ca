#!/bin/sh
# The store comes back from an older copy: what it lost stays in force, what is written from
# then on is learned by all instances, and orders keep their order.
# Guards against knowledge that is ordered by revisions, which the store gives out again.
. "$(dirname "$0")/lib/front.sh"

# Within this time a change has to be in force; so long after it has said so, an endpoint
# that leaves gets no request.
IN_FORCE_S=2

base_routes=$default_routes
start_models
write_config 1
for n in 1 2 3
do
	start_front "$n"
done
engines_held () {
	test $(($(held 1) + $(held 2) + $(held 3))) = 2
}
wait_for engines_held
for name in a b c
do
	adapter 2 "$name" -o /dev/null
done

statuses () {
	for n in $1
	do
		ask "$n" "$2" -o /dev/null -w "$n %{http_code}\n"
	done
}
lose () {
	control store mode=refuse
	sleep 0.6
	control store restore=1
	control store mode=up
}

control store save=1
# All of this is lost: many revisions, a route, an endpoint that leaves, and an engine that
# changes hands.
for n in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20
do
	echo "$n" | put_item "op/note/$n"
done
write_config 2 "$base_routes
early /early/ idempotent desk 1000 2"
control desk-2 state=draining
for n in 1 2 3
do
	test "$(held $n)" = 0 || victim=$n
done
kill_now "front$victim"
rest=$(echo 1 2 3 | tr -d "$victim" | xargs)
engines_held_by_rest () {
	sum=0
	for n in $rest
	do
		sum=$((sum + $(held "$n")))
	done
	test "$sum" = 2
}
wait_for engines_held_by_rest
# Requests new adapters until each engine has loaded some.
next_adapter=0
orders_grow () {
	next_adapter=$((next_adapter + 1))
	test "$(adapter "${rest%% *}" "n$next_adapter" -o /dev/null \
		-w '%{http_code}')" = 200 &&
		test "$(total orders engine-1)" -gt "$((orders_1 + 2))" &&
		test "$(total orders engine-2)" -gt "$((orders_2 + 2))"
}
both_get_orders () {
	orders_1=$(total orders engine-1)
	orders_2=$(total orders engine-2)
	wait_for orders_grow
}
both_get_orders
early_in_force () {
	! statuses "$rest" /early/x | grep -qv ' 200'
}
wait_for early_in_force
lose

# What was in force stays so, before and after the operator writes it again.
sleep "$IN_FORCE_S"
statuses "$rest" /early/x >"$work/kept.out"
expect 'the route that the store lost is served' cut -d' ' -f2 "$work/kept.out" <<\END
200
200
END
before=$(total runs desk-2)
statuses "$rest $rest $rest" /read/x >"$work/left.out"
test "$(total runs desk-2)" = "$before" ||
	fail 'an endpoint that leaves, as the store has forgotten, got requests'
write_config 2 "$base_routes
early /early/ idempotent desk 1000 2"
control desk-2 state=ready
sleep "$IN_FORCE_S"

# What is new.
write_config 3 "$base_routes
late /late/ idempotent desk 1000 2"
control desk-1 state=draining
sleep "$IN_FORCE_S"
statuses "$rest" /late/x >"$work/late.out"
expect 'a new route is served' cut -d' ' -f2 "$work/late.out" <<\END
200
200
END
before=$(total runs desk-1)
statuses "$rest $rest $rest" /read/x >"$work/read.out"
test "$(total runs desk-1)" = "$before" || fail 'an endpoint that leaves got requests'

# Engines: orders go on, by one holder each, and with higher fencing numbers.
wait_for engines_held_by_rest
both_get_orders
# Once more, with the instance that has started again.
start_front "$victim"
wait_for engines_held
control store save=1
echo 1 | put_item op/note/last
write_config 4
lose
write_config 5 "$base_routes
last /last/ idempotent desk 1000 2"
sleep "$IN_FORCE_S"
statuses '1 2 3' /last/x >"$work/last.out"
expect 'a route is served after the second return' cut -d' ' -f2 "$work/last.out" <<\END
200
200
200
END
both_get_orders
test "$(total broken engine-1 engine-2)" = 0 || fail 'an order broke the rules'
test "$(total twice engine-1 engine-2 desk-1 desk-2)" = 0 || fail 'a request ran twice'
finish
