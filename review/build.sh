#!/bin/sh
# Builds the stand-ins that the scripts of the review start, into target/.
# Needs what the build of the deploy file needs, and nothing else.
set -eu
cd "$(dirname "$0")/.."
make -j4 BUILD=target target/bin/standin-platform
mkdir -p target/review
for source in review/lib/rv-*.c
do
	name=$(basename "$source" .c)
	${CC:-cc} -std=gnu11 -O2 -g -Wall -Wno-format-truncation -pthread \
		-o "target/review/$name" "$source"
done
