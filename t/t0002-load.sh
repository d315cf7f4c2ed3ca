#!/bin/sh
# Run the load generator against an engine stand-in: correct answers, refusals and
# options.
. "$(dirname "$0")/lib/deploy.sh"

start engine standin-engine --slots 4 --places 16 --loads 100 --load-ms 5 \
	--step-ms 2
load () {
	curl -sS -X POST -d "{\"slot\":$1,\"lora_name\":\"adapter-$1@1\"}" \
		"http://$(address engine)/v1/load_lora_adapter" >/dev/null
}
for slot in 0 1 2 3
do
	load "$slot" || fail 'the engine refused to load an adapter'
done

run () {
	"$bin/hc-load" --entry "$(address engine)" --duration 0.5 "$@" \
		--json "$work/result.json" >"$work/table" 2>&1
	echo "status $?"
}
count () {
	sed -n "s/^ *\"$1\" : \([0-9]*\),*\$/\1/p" "$work/result.json" |
	head -n 1
}
all_right () {
	test "$(count right)" -gt 0 &&
	test "$(count right)" -eq "$(count sent)" ||
		{ cat "$work/table"; fail "$1"; }
}

expect 'streamed answers are correct' run --adapters 4 --round 3 <<\END
status 0
END
all_right 'a streamed answer is wrong or missing'
expect 'unstreamed answers in an open loop are correct' \
	run --adapters 4 --whole --rate 50 --non-idempotent 50 <<\END
status 0
END
all_right 'an unstreamed answer is wrong or missing'
expect 'a direct target is measured for comparison' \
	run --adapters 4 --direct "$(address engine)" <<\END
status 0
END
grep -q '^added latency of the first token' "$work/table" || fail 'no added latency'

expect 'adapters that are not loaded are refused' \
	run --adapters 4 --adapter-version 2 --retries 1 <<\END
status 1
END
test "$(count refused)" -eq "$(count sent)" || fail 'not all requests are refused'
test "$(count retried)" -eq "$(count sent)" || fail 'not all requests are retried'

expect 'nothing listens at the entry address' run --entry 127.0.0.1:1 --callers 2 <<\END
status 0
END
test "$(count unreachable)" -gt 0 || fail 'unreachable requests are not counted'

start desk standin-service
orders () {
	"$bin/hc-load" --entry "$(address desk)" --service /desk/ --duration 0.5 \
		--callers 2 --retries 1 --json "$work/result.json" \
		>"$work/table" 2>&1
	echo "status $?"
}
expect 'orders at a plain service are answered correctly' orders <<\END
status 0
END
all_right 'an answer to an order is wrong or missing'
curl -sS -X POST -d '{"mode":"fail_after","count":1}' \
	"http://$(address desk)/control" >/dev/null
expect 'an order that ran twice counts as wrong' orders <<\END
status 1
END
test "$(count wrong)" -eq 1 || fail 'the order that ran twice is not counted'

expect 'an invalid number is refused' "$bin/hc-load" --entry 127.0.0.1:1 \
	--callers none <<\END
hc-load: 'none': give a whole number in range, see --help
END
finish
