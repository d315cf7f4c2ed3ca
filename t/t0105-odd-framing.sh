#!/bin/sh
# Answers of endpoints, the key-value service, the instance list and hc-admin whose length or
# transfer coding has a wrong byte.
# Guards against such an answer that ends hc-owner, hc-entry, hc-admin or hcctl (review/6).
. "$(dirname "$0")/lib/instances.sh"

start_platform
start_engines 2 --slots 2
start_many 6 links standin-proxy "kv=$(address kv)" "list=$(address list)" \
	"engine1=$(address engines 1)" "engine2=$(address engines 2)" \
	"admin=$(ip 1):8002"
link_address () {
	sed -n "s/^listening $1 \\(127.*\\)\$/\\1/p" "$work/links.out"
}
spoil () {
	curl -sS -X POST -o /dev/null \
		"http://$(sed -n 's/^listening \(127.*\)$/\1/p' \
			"$work/links.out")/control?link=$1&spoil=$2"
}
# The instance reaches what it calls by the links.
address () {
	case "$1" in
	kv | list)
		link_address "$1" ;;
	*)
		sed -n 's/^listening .*\(127\.[0-9.]*:[0-9]*\)$/\1/p' \
			"$work/$1.out" | sed -n "${2:-1}p" ;;
	esac
}
start_instance 1 north-a
endpoints="$(engine assist-1 "$(link_address engine1 | sed 's/.*://')" north-a)
$(engine assist-2 "$(link_address engine2 | sed 's/.*://')" north-a)"
commit_document
wait_for in_force 1 1
wait_for serves 1

spoil admin 1
status=0
HCCTL_TOKEN=operator-token "$bin/hcctl" --admin="$(link_address admin)" history \
	>"$work/history" 2>&1 || status=$?
expect 'hcctl says what was wrong' sh -c "echo $status; cat '$work/history'" <<\END
1
hcctl: interrupted: the server's answer is not valid (the bytes are no HTTP/1 message: the transfer coding is not "chunked"); ask again with the same key
END
spoil admin 0

for name in kv list engine1 engine2
do
	spoil "$name" 3
done
n=1
while test "$n" -lt 40
do
	n=$((n + 1))
	ask 1 clerk-token "{\"model\":\"note-$(printf %02d "$n")@1\",\"prompt\":\"p\",
		\"max_tokens\":4}" -o /dev/null &
	sleep 0.05
done
for name in kv list engine1 engine2
do
	spoil "$name" 0
done
within_seconds 20 serves 1
finish
