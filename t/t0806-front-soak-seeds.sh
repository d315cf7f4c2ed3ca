#!/bin/sh
# Seeds of t0805 that failed once, each with its cause.

SOAK_SECONDS=${SOAK_SECONDS:-15}
export SOAK_SECONDS

# play SEED: status 1 ends the script.
play () {
	SEED=$1 sh "$(dirname "$0")/t0805-front-soak.sh" || exit 1
}

# The model of an engine sent a piece beyond the last to a stream that was resumed
# there; and all items were read anew without a pause while the store's history was
# short.
play 104
