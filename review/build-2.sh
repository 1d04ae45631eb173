#!/bin/sh
# Builds the stand-ins and scenarios that the scripts of the second review start,
# into review/standins-2/bin. Needs the packages of the deploy file alone.
set -e
cd "$(dirname "$0")/standins-2"
mkdir -p bin
flags="-std=gnu11 -O1 -g -Wall -Wextra $(pkg-config --cflags json-glib-1.0 libevent)"
libs="$(pkg-config --libs json-glib-1.0 libevent)"
for case in case_*.c; do
	# shellcheck disable=SC2086
	cc $flags -o "bin/${case%.c}" "$case" deployment.c $libs
done
