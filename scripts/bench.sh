#!/bin/sh
# bench.sh BUILD: every bench program in turn, each with its usual arguments.
# Under 10 minutes together; a program that takes longer than its limit or
# fails is named, and the exit code is 1 then.
BUILD=$1
failed=

bench() { # LIMIT_S PROGRAM ARGUMENTS...
	limit=$1
	shift
	program=$1
	shift
	[ -x "$BUILD/$program" ] || { failed="$failed $program"; return; }
	echo "== $program $*"
	began=$(date +%s)
	timeout -k 1 "$limit" "$BUILD/$program" "$@" ||
		failed="$failed $program"
	echo "== $program took $(($(date +%s) - began)) s"
}

for path in "$BUILD"/bench_*; do
	name=$(basename "$path")
	case $name in
	bench_path) bench 150 "$name" --seconds 3 ;;
	bench_load) bench 120 "$name" --seed 1 ;;
	*) bench 90 "$name" ;;
	esac
done
[ -z "$failed" ] || { echo "bench: FAILED:$failed"; exit 1; }
