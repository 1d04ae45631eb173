#!/bin/sh
# fuzz.sh fixed BUILD RUNS: fixed seed and run count, the same verdict every
# time. fuzz.sh long BUILD SECONDS: a random seed, printed by libFuzzer.
# The targets run side by side; each one that fails prints its end.
set -eu
mode=$1
build=$2
amount=$3
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# libFuzzer mutates by the operands of comparisons, of which some are addresses.
same_addresses=
if [ "$mode" = fixed ]; then
	same_addresses="setarch $(uname -m) -R"
	if ! $same_addresses true 2>/dev/null; then
		same_addresses=
		echo "fuzz: can't fix addresses here; runs may differ"
	fi
fi

run_target() { # NAME
	name=$1
	corpus=src/test_fuzz/corpus/$name
	mkdir -p "$work/$name"
	[ -d "$corpus" ] || corpus=
	runs=$amount
	# A target that plays out whole runs of the system says how many.
	[ ! -f "src/test_fuzz/$name.runs" ] ||
		runs=$(cat "src/test_fuzz/$name.runs")
	if [ "$mode" = fixed ]; then
		# Not by the order of the directory, nor by what is there by when.
		set -- -seed=1 -runs="$runs" -reload=0
		if [ -n "$corpus" ]; then
			find "$corpus" -type f | LC_ALL=C sort |
				paste -sd, >"$work/$name.seeds"
			set -- "$@" "-seed_inputs=@$work/$name.seeds"
			corpus=
		fi
	else
		set -- -max_total_time="$amount" -print_final_stats=1
	fi
	log=$work/$name.log
	# Inputs that failed before a fix run as they are, in both modes.
	if [ -d "src/test_fuzz/inputs/$name" ] &&
		! "$build/$name" "src/test_fuzz/inputs/$name"/* \
			>"$log" 2>&1; then
		tail -40 "$log" | cut -c1-300
		echo "fuzz: $name FAILED on a kept input"
		touch "$work/failed"
		return
	fi
	if $same_addresses "$build/$name" "$@" -max_len=4096 -artifact_prefix=./fuzz- \
		"$work/$name" $corpus >"$log" 2>&1; then
		echo "fuzz: $name passed ($(grep -ao 'Done [0-9]* runs' "$log" | tail -1))"
	else
		tail -40 "$log" | cut -c1-300
		echo "fuzz: $name FAILED"
		touch "$work/failed"
	fi
}

for target in "$build"/fuzz_*; do
	[ -x "$target" ] || continue
	run_target "$(basename "$target")" &
done
wait
[ ! -e "$work/failed" ]
