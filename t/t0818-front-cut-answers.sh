#!/bin/sh
# An answer with a length or in chunks that breaks off at any byte of its head, body or
# last chunk never looks complete, and leaves nothing of it for the next caller.
. "$(dirname "$0")/lib/front.sh"

# Each byte of the end of an answer, with its last chunk, and some of those before.
STEP=9
END_BYTES=12

instances=1
# One endpoint of each kind, so that each request meets the cut.
endpoints='engine-1 desk-1'
start_models --events 2 --event-ms 5
start_links
control engine-2 state=gone
control desk-2 state=gone
write_config 1
start_front 1
served () {
	test "$(adapter 1 a1 -o /dev/null -w '%{http_code}')" = 200
}
wait_for served

# request ENDPOINT ADDRESS OPTION...; all answers of an endpoint have the same size.
request () {
	id=cut-$$-$(date +%s%N)
	kind=$1
	to=$2
	shift 2
	case $kind in
	desk-1) set -- "$@" -d order "http://$to/write/x" ;;
	engine-1) set -- "$@" -d prompt -H 'X-Hawthorncross-Model: base/a1' \
		-H 'X-Hawthorncross-Token-Count: 100,20' "http://$to/stream/x" ;;
	esac
	curl -s --max-time 10 -X POST -H 'Host: front.example' \
		-H "X-Hawthorncross-Request-Id: $id" \
		-H 'X-Hawthorncross-Deadline-Ms: 5000' "$@"
}
# Writes the body to a file and prints the status, and the exit status of curl.
get () {
	request "$1" "$(ip 1):8000" -o "$2" -w '%{http_code} '
	echo "$?"
}
# The bytes of an answer of the endpoint, with its head and its chunks.
size_of () {
	request "$1" "$(model "$1")" --raw -i | wc -c
}

cut_at () {
	link "$1" "cut=$3&as=$2"
	ended=$(get "$1" "$work/body")
	test "$ended" = '200 18' || test "$ended" = '502 0' ||
		echo "$1, $2 at $3 of $size: $ended"
	link "$1" 'cut=0&as=none'
	ended=$(get "$1" "$work/body")
	test "$ended" = '200 0' && cmp -s "$work/body" "$work/whole" ||
		echo "$1, after $2 at $3: $ended"
}
cut_everywhere () {
	get "$1" "$work/whole" >"$work/status"
	size=$(size_of "$1")
	test "$size" -gt 150 || fail "an answer of $1 has $size bytes"
	for way in end reset
	do
		for bytes in $(seq 0 $STEP $((size - END_BYTES))) \
			$(seq $((size - END_BYTES)) $((size - 1)))
		do
			cut_at "$1" "$way" "$bytes"
		done
	done
}
for endpoint in $endpoints
do
	expect "no part of an answer of $endpoint looks complete" \
		cut_everywhere "$endpoint" <<\END
END
done
expect 'nothing ran twice' total twice $endpoints <<\END
0
END
finish
