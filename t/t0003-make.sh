#!/bin/sh
# 'make demo' and 'make test' must install the libraries before anything else, so
# that they work on a new machine as the README says.  The steps are only listed,
# so the result does not depend on what is installed.
. "$(dirname "$0")/lib/deploy.sh"

# A make that runs this script must not pass its flags to those started below.
unset MAKEFLAGS MFLAGS MAKELEVEL

first_step () {
	make -n -s "$1" BUILD="$work/build" >"$work/steps"
	head -n 1 "$work/steps"
}
expect 'make demo installs first' first_step demo <<\END
.ci/deps
END
expect 'make test installs first' first_step test <<\END
.ci/deps
END
# The first make has no compiler flags for the libraries yet, so it must not compile.
compiles () {
	make -n -s demo BUILD="$work/build" >"$work/steps"
	grep -c -- ' -c -o ' "$work/steps"
}
expect 'make demo compiles in a recursive make' compiles <<\END
0
END
finish
