#!/bin/sh
# Replays the seeds of t0805 that failed once, each with its cause.

SOAK_SECONDS=${SOAK_SECONDS:-15}
export SOAK_SECONDS

# play SEED: replays one seed; a failure ends the script.
play () {
	SEED=$1 sh "$(dirname "$0")/t0805-front-soak.sh" || exit 1
}

# The model of an engine sent a piece beyond the last one to a resumed stream; and
# the mirror read all items again without delay while the store kept little history.
play 104
