#!/bin/sh
# Test that the links of the fault proxy forward, delay, block and reset connections
# as set by the control interface.
. "$(dirname "$0")/lib/deploy.sh"

start service standin-service
start_many 2 links standin-proxy "desk=$(address service)"
link=$(sed -n 's/^listening desk //p' "$work/links.out")
proxy=$(sed -n 's/^listening \(127[0-9.:]*\)$/\1/p' "$work/links.out")

control () {
	curl -sS -X POST "http://$proxy/control?link=desk&$1"
}

# Exit status of curl: 0 complete, 28 timeout, 56 or 52 connection reset.
order () {
	curl -s --max-time "${2:-5}" -o "$work/body" -w '%{http_code}\n' \
		-X POST -H "X-Request-Id: $1" -d order "http://$link/orders/x"
	echo "$?"
}
runs () {
	curl -s "http://$(address service)/control/ledger" |
	grep -c "$1"
}

expect 'an open link forwards a request' order one <<\END
200
0
END

control 'delay_ms=300' >"$work/control"
took_longer () {
	before=$(date +%s%N)
	order two >/dev/null
	test "$((($(date +%s%N) - before) / 1000000))" -ge 600 && echo yes
}
expect 'both directions are delayed' took_longer <<\END
yes
END
control 'delay_ms=0' >"$work/control"

control 'mode=mute_to' >"$work/control"
expect 'no data reaches the target' order three 0.3 <<\END
000
28
END
expect 'the order did not run' runs three <<\END
0
END

control 'mode=mute_from' >"$work/control"
expect 'no data returns from the target' order four 0.5 <<\END
000
28
END
expect 'the order ran' runs four <<\END
1
END

# Held data is forwarded to a waiting caller once the link is open again.
control 'mode=silent' >"$work/control"
order five 20 >"$work/late" &
waiting=$!
sleep 0.3
control 'mode=open' >"$work/control"
wait "$waiting"
expect 'held data is forwarded' cat "$work/late" <<\END
200
0
END

control 'mode=silent' >"$work/control"
order six 20 >"$work/reset" &
waiting=$!
sleep 0.3
control 'reset=1&mode=open' >"$work/control"
wait "$waiting"
expect 'a reset closes the connection at once' cat "$work/reset" <<\END
000
56
END
expect 'the link works after a reset' order seven <<\END
200
0
END

control 'mode=silent' >"$work/control"
order eight 1 >"$work/killed" &
waiting=$!
sleep 0.3
control 'kill=all&mode=open' >"$work/control"
wait "$waiting"
expect 'a killed connection stays silent without a reset' cat "$work/killed" <<\END
000
28
END
expect 'new connections work after a kill' order nine <<\END
200
0
END

# Cut off after a byte of the answer.  curl reports an end as 52.
for as in end reset silent
do
	control "cut=1&as=$as" >"$work/control"
	order "eleven-$as" 1
done >"$work/cut"
expect 'an answer is cut off in three ways' cat "$work/cut" <<\END
000
52
000
56
000
28
END
control 'cut=100000&as=end' >"$work/control"
expect 'an answer that is shorter passes whole' order twelve <<\END
200
0
END
control 'cut=0&as=silent' >"$work/control"
control 'cut=0&as=none' >"$work/control"
expect 'a cut is taken back' order thirteen <<\END
200
0
END

expect 'an unknown mode changes nothing' eval \
	'control mode=open; control mode=shut; order ten' <<\END
done
no such link, mode, delay, cut or spoil
200
0
END
finish
