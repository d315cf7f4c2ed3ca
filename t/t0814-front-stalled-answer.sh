#!/bin/sh
# An attempt that times out half way through its answer leaves nothing of it for the
# caller, who gets the answer of the next endpoint alone.
. "$(dirname "$0")/lib/front.sh"

instances=1
start_models
start_links
# The goal is 200 ms, so that an attempt times out after 400 ms.
write_config 1
# Each stalled answer is followed by a repeat.
front_settings 1
sed -i 's/"grace_s"/"repeat_slack": 100, &/' "$work/front1.json"
start_front 1

get () {
	ask 1 /read/x -w '%{http_code}\n'
}
expect 'an answer' get <<\END
GET /read/x 0
200
END
stalled () {
	for stalling in desk-1 desk-2
	do
		control "$stalling" mode=stall
		get
		get
		control "$stalling" mode=ok
		# Until the endpoint is chosen again after its failures.
		sleep 1
	done
}
expect 'only the whole answer' stalled <<\END
GET /read/x 0
200
GET /read/x 0
200
GET /read/x 0
200
GET /read/x 0
200
END
stalled_runs () {
	test "$(total runs desk-1 desk-2)" -gt 5
}
stalled_runs || fail 'no attempt met the stalled endpoint'

# A body with a length stops after some of its bytes, or its head does.
size=$(curl -s -i "http://$(model desk-1)/read/x" \
	-H "X-Hawthorncross-Request-Id: $$-00-000000000" | wc -c)
cut_near_end () {
	for bytes in 16 13 10 7 4 1
	do
		for stalling in desk-1 desk-2
		do
			link "$stalling" "cut=$((size - bytes))&as=silent"
			get
			get
			link "$stalling" 'cut=0&as=none'
		done
		# Until the endpoint is chosen again after its failures.
		sleep 0.6
	done | sort | uniq -c | tr -s ' '
}
sent_twice () {
	grep -c '"route":"read".*"sends":"2"' "$work/front1.out"
}
before=$(sent_twice)
expect 'only the whole answer after a part of a body with a length' cut_near_end <<\END
 24 200
 24 GET /read/x 0
END
test "$(sent_twice)" -ge $((before + 3)) || fail 'too few attempts met the cut'

# A stream that stops inside its first event, which the caller has seen nothing of.
control engine-1 mode=stall
control engine-2 mode=stall
ask 1 /resume/x -X POST -d prompt -H 'X-Hawthorncross-Model: base' \
	-o "$work/stream" -w '%{http_code}\n' >"$work/code" &
asking=$!
sleep 0.15
control engine-1 mode=ok
control engine-2 mode=ok
wait "$asking"
events () {
	cat "$work/code"
	grep -v '^$' "$work/stream"
}
expect 'only the whole stream' events <<\END
200
id: 0
data: piece 0
id: 1
data: piece 1
id: 2
data: piece 2
id: 3
data: piece 3
id: 4
data: piece 4
END
finish
