#!/bin/sh
# tsan.sh BUILD JOBS: the tests that have threads, under the thread sanitizer.
# Lists each report with its place; exit code 1 when a test failed or a report
# is not one of those inside localtime under GLib's log writer.
set -u
build=$1
jobs=$2
tests="test_peer test_listener test_upstream test_log_client \
	test_request_table test_intent_writer test_entry test_relay_transport"
failed=

mkdir -p "$build"
build=$(cd "$build" && pwd)
clang -fsanitize=thread -O1 -g $(pkg-config --cflags glib-2.0) \
	-c scripts/tsan_glib.c -o "$build/tsan_glib.o" || exit 1
CC=clang cmake -S . -B "$build" -DCMAKE_BUILD_TYPE=RelWithDebInfo \
	-DCMAKE_C_FLAGS="-fsanitize=thread" \
	-DCMAKE_EXE_LINKER_FLAGS="-fsanitize=thread $build/tsan_glib.o" \
	>/dev/null || exit 1
cmake --build "$build" -j"$jobs" --target $tests platform >/dev/null || exit 1
printf 'race:tzset_internal\nrace:localtime\n' >"$build/tsan.supp"
# GLib's slices would pass memory between threads unseen.
export G_SLICE=always-malloc
export TSAN_OPTIONS="suppressions=$build/tsan.supp exitcode=66 \
history_size=7 second_deadlock_stack=1"
for test in $tests; do
	log=$build/$test.log
	if timeout -k 1 120 "$build/$test" >"$log" 2>&1; then
		echo "tsan: $test passed"
	else
		echo "tsan: $test FAILED"
		grep -a 'SUMMARY\|FAILED' "$log"
		failed=1
	fi
done
[ -z "$failed" ]
