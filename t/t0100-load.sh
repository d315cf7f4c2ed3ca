#!/bin/sh
# Ten adapters share four slots under load: every answer must be correct, and no
# adapter may be unloaded while a request uses it.
. "$(dirname "$0")/lib/instances.sh"

places=64
start_one --places 64 --step-ms 2

load () {
	"$bin/hc-load" --entry "$(ip 1):8000" --tokens clerk-token \
		--adapter-prefix note-1 --adapters 10 --duration 1 "$@" \
		--json "$work/result.json" >"$work/table" 2>&1
	echo "status $?"
}
count () {
	sed -n "s/^ *\"$1\" : \([0-9]*\),*\$/\1/p" "$work/result.json" |
	head -n 1
}
check () {
	test "$(count right)" -gt 0 &&
	test "$(count right)" -eq "$(count sent)" ||
		{ cat "$work/table"; fail "$1"; }
}

expect 'closed loop, streamed' load --callers 8 <<\END
status 0
END
check 'a streamed answer is missing or wrong'
expect 'open loop with rounds, unstreamed' load --rate 100 --round 3 --whole <<\END
status 0
END
check 'an unstreamed answer is missing or wrong'
expect 'no adapter is unloaded while in use' violations <<\END
"violations":[]
END
finish
