#!/bin/sh
# What the README says installs what it needs: 'make demo' and 'make test' on a
# machine without the libraries.  Nothing is run; no state of the machine counts.
. "$(dirname "$0")/lib/deploy.sh"

# A make that runs this script would tell the ones below its flags.
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
# Nothing is compiled before it, by a make that knows no flags yet.
compiles () {
	make -n -s demo BUILD="$work/build" >"$work/steps"
	grep -c -- ' -c -o ' "$work/steps"
}
expect 'make demo compiles in a make of its own' compiles <<\END
0
END
finish
