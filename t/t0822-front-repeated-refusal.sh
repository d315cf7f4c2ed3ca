#!/bin/sh
# An endpoint writes an earlier refusal once more on a kept connection, before the answer to
# the request that it is running.
# Guards against a caller that is told that its request has not run, or a second run of it.
. "$(dirname "$0")/lib/front.sh"

start_models
start raw standin-unframed
for endpoint in desk-1 desk-2
do
	control "$endpoint" state=gone
done
for n in 1 2
do
	echo "{\"service\": \"desk\", \"addr\": \"$(address raw)\", \"zone\": \"a\",
		\"version\": \"v1\", \"slots\": 4, \"state\": \"ready\", \"seq\": 0,
		\"coldLeftMs\": 0, \"born\": $n}" | put_item "servers/raw-$n"
done
write_config 1 'write /write/ non_idempotent desk 1000 2'
# Every request is refused, so that many are sent once more.
front_settings 1
sed -i 's/"grace_s"/"repeat_slack": 1000, &/' "$work/front1.json"
start_front 1

ids () {
	sed -n 's/^ran //p' "$work/raw.out"
}
# Prints the statuses; the ids of those that were told "not run" go to $work/refused.
write_many () {
	: >"$work/refused"
	for n in 1 2 3 4 5 6 7 8 9 10 11 12
	do
		id=$$-$1-$n
		status=$(curl -sS --max-time 10 -X POST -d x -o /dev/null \
			-w '%{http_code}' "http://$(ip 1):8000/write/refused$2/x" \
			-H 'Host: front.example' -H 'X-Hawthorncross-Deadline-Ms: 5000' \
			-H "X-Hawthorncross-Request-Id: $id")
		test "$status" != 503 || echo "$id" >>"$work/refused"
	done
}
told_not_run_but_ran () {
	ids | sort | uniq >"$work/ran"
	sort "$work/refused" | comm -12 - "$work/ran"
}
ran_twice () {
	ids | sort | uniq -d
}
for how in '' /unnamed
do
	write_many "w${how#/}" "$how"
	expect "refusals with path '$how' are true" told_not_run_but_ran <<\END
END
	expect "nothing ran twice with path '$how'" ran_twice <<\END
END
done
finish
