#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, beside the program that the deploy
# file builds: the project's model of the platform, and rv2.
set -eu
cd "$(dirname "$0")/.."
make -j8 BUILD=target target/bin/standin-platform
${CC:-cc} -std=gnu11 -O2 -Wall -Wextra -o target/bin/rv2 review/lib-2/rv2.c
