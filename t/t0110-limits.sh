#!/bin/sh
# The rate limit of a caller applies to the sum over three entries, not to each entry.

. "$(dirname "$0")/lib/instances.sh"

RATE=5
SECONDS_OF_LOAD=5

start_platform
start_engines 1
start_instance 1 north-a
start_instance 2 north-b
start_instance 3 north-c
endpoints=$(engine assist-1 "$(port engines)" north-a)
callers=", {\"name\": \"capped\", \"priority\": 5,
	\"token_sha256\": [\"$(sha256 capped-token)\"],
	\"limits\": {\"requests_per_second\": $RATE}, \"adapters\": [\"note-*\"]}"
commit_document
wait_for in_force 1 1 2 3
for n in 1 2 3
do
	wait_for serves "$n"
done

# press N: send requests to entry N until $end and print the status of each
press () {
	until test "$(date +%s)" -ge "$end"
	do
		ask "$1" capped-token '{"model":"note-40@1","prompt":"p",
			"max_tokens":1}' -o /dev/null -w '%{http_code}\n'
	done
}

begin=$(date +%s)
end=$((begin + SECONDS_OF_LOAD))
for n in 1 2 3
do
	press "$n" >"$work/statuses$n" &
	pressing="$pressing $!"
done
wait $pressing
taken=$(date +%s)

# The rate plus the burst, and both once more until the entries have agreed on their
# shares.  One second is added because the clock has a resolution of one second.
allowed=$((RATE * (taken - begin + 1) + RATE + 2 * RATE))
admitted=$(cat "$work"/statuses* | grep -c 200)
refused=$(cat "$work"/statuses* | grep -c 429)
at_most () {
	test "$admitted" -le "$allowed" && echo yes || echo "$admitted/$allowed"
}
expect 'no more requests than the limit are admitted' at_most <<\END
yes
END
some () {
	test "$admitted" -ge "$RATE" && test "$refused" -gt 0 && echo yes
}
expect 'the other requests are refused' some <<\END
yes
END
others () {
	cat "$work"/statuses* | grep -v -c -e 200 -e 429
}
expect 'no request has another status' others <<\END
0
END
finish
