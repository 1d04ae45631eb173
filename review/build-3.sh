#!/bin/sh
# Builds the stand-ins of the third review into target/review-3.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
flags=$(pkg-config --cflags --libs glib-2.0 json-glib-1.0 libevent)
for source in review/standins-3/case_*.c; do
	name=$(basename "$source" .c)
	# shellcheck disable=SC2086
	cc -O1 -g -Wall -Wextra -D_GNU_SOURCE -o "target/review-3/$name" \
		"$source" review/standins-3/world.c $flags
done
