#!/bin/sh
# The document lists the adapters of a round in order.  When a round starts, the next
# adapter must be loaded before it is requested, and no other.

. "$(dirname "$0")/lib/instances.sh"

start_platform
start_engines 1
start_instance 1 north-a
endpoints=$(engine assist-1 "$(port engines)" north-a)
rounds=', "rounds": [{"name": "morning", "likelihood": 0.5,
	"adapters": ["note-01@1", "note-02@1", "note-03@1"]}]'
commit_document
wait_for in_force 1 1
wait_for serves 1

# The adapters that the engine holds, sorted.
held () {
	curl -s "http://$(address engines)/report" |
	grep -o 'note-[0-9]*@[0-9]*\|other@1' | sort
}
expect 'no adapter of the round is loaded before it starts' held <<\END
note-40@1
END

completed () {
	ask 1 clerk-token "{\"model\":\"$1\",\"prompt\":\"p\",\"max_tokens\":1}" \
		-o /dev/null -w '%{http_code}\n'
}
expect 'the first request of the round is served' completed note-01@1 <<\END
200
END
is_held () {
	held | grep -q "^$1\$"
}
wait_for is_held note-02@1
# No further adapter may be loaded, so wait before the check.
sleep 0.5
expect 'the next adapter is loaded before it is requested' held <<\END
note-01@1
note-02@1
note-40@1
END
expect 'a request for the next adapter is served' completed note-02@1 <<\END
200
END
wait_for is_held note-03@1
expect 'the engine recorded no violation' violations <<\END
"violations":[]
END
finish
