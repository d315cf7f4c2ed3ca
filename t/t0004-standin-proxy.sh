#!/bin/sh
# The links of the fault soak pass on, delay, hold up and reset as they are told.
. "$(dirname "$0")/lib/deploy.sh"

start service standin-service
start_many 2 links standin-proxy "desk=$(address service)"
link=$(sed -n 's/^listening desk //p' "$work/links.out")
proxy=$(sed -n 's/^listening \(127[0-9.:]*\)$/\1/p' "$work/links.out")

control () {
	curl -sS -X POST "http://$proxy/control?link=desk&$1"
}

# Exit status of curl: 0 whole, 28 no answer in time, 56 or 52 reset.
order () {
	curl -s --max-time "${2:-5}" -o "$work/body" -w '%{http_code}\n' \
		-X POST -H "X-Request-Id: $1" -d order "http://$link/orders/x"
	echo "$?"
}
runs () {
	curl -s "http://$(address service)/control/ledger" |
	grep -c "$1"
}

expect 'an open link passes on' order one <<\END
200
0
END

control 'delay_ms=300' >"$work/control"
took_longer () {
	before=$(date +%s%N)
	order two >/dev/null
	test "$((($(date +%s%N) - before) / 1000000))" -ge 600 && echo yes
}
expect 'both ways are delayed' took_longer <<\END
yes
END
control 'delay_ms=0' >"$work/control"

control 'mode=mute_to' >"$work/control"
expect 'nothing comes to the target' order three 0.3 <<\END
000
28
END
expect 'it has not run' runs three <<\END
0
END

control 'mode=mute_from' >"$work/control"
expect 'nothing comes from the target' order four 0.5 <<\END
000
28
END
expect 'it has run' runs four <<\END
1
END

# A caller that waits gets what was held up.
control 'mode=silent' >"$work/control"
order five 20 >"$work/late" &
waiting=$!
sleep 0.3
control 'mode=open' >"$work/control"
wait "$waiting"
expect 'what was held up is passed on' cat "$work/late" <<\END
200
0
END

control 'mode=silent' >"$work/control"
order six 20 >"$work/reset" &
waiting=$!
sleep 0.3
control 'reset=1&mode=open' >"$work/control"
wait "$waiting"
expect 'a reset ends the connection at once' cat "$work/reset" <<\END
000
56
END
expect 'the link serves again' order seven <<\END
200
0
END

expect 'an unknown mode changes nothing' eval \
	'control mode=open; control mode=shut; order eight' <<\END
done
no such link, mode or delay
200
0
END
finish
