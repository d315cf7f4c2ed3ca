#!/bin/sh
# Builds the stand-ins of review/11 to review/15, after the build of deploy/system.toml:
# the project's model of the platform, and review/standins-3/peer3.
set -eu
cd "$(dirname "$0")/.."
make -j8 BUILD=target target/bin/standin-platform
mkdir -p target/review-3
${CC:-cc} -D_GNU_SOURCE -std=gnu11 -O2 -g -Wall -Wextra -pthread \
	-o target/review-3/peer3 review/standins-3/peer3.c
