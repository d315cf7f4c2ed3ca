#!/bin/sh
# An instance must still know where adapters are placed after a time without
# requests.
. "$(dirname "$0")/lib/instances.sh"

start_one
status_of_one () {
	ask 1 clerk-token '{"model":"note-01@1","prompt":"p","max_tokens":2}' \
		-o /dev/null -w '%{http_code}\n'
}
expect 'a request at the start is served' status_of_one <<\END
200
END
# Longer than the placement table keeps the entries of an owner without news.
sleep 20
expect 'a request after 20 s without traffic is served' status_of_one <<\END
200
END
finish
