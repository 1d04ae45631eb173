#!/usr/bin/env bash
# trial_publish.sh BUILD: publishes on three entry processes and the platform
# stand-in: 40 times in a row, two operators at once, a slow log, a frozen
# entry process, a frozen platform. Prints what operators saw; fails when an
# exit code is one that the case can't have or a version was lost.
set -u
BUILD=$1
. scripts/cluster.sh
. scripts/target.sh
failed=0

publish() { # OPERATOR LOSE_COUNT OPTIONS...
	sed "s/\"lose_count\": 3/\"lose_count\": $2/" "$work/rules.json" \
		>"$work/rules-$1.json"
	operator publish --author "$1" --inventory "$work/inventory.json" \
		--rules "$work/rules-$1.json" --json "${@:3}" \
		>"$work/out-$1" 2>"$work/err-$1"
}

expect() { # WHAT CODE EXPECTED
	echo "trial: $1: exit $2"
	[ "$2" = "$3" ] || { echo "trial: expected $3"; failed=1; }
}

version() {
	operator status --json | grep -o '"config_version" *: *[0-9]*' |
		tail -1 | grep -o '[0-9]*$'
}

rollouts() { # COUNT
	for i in $(seq 1 "$1"); do
		publish ann $((4 + i % 2)) || failed=1
		grep -o '"rollout_ms":[0-9]*' "$work/out-ann"
	done | sort | uniq -c
}

many() { # OPERATOR LOSE_COUNT
	for i in $(seq 1 25); do
		publish "$1" $(($2 + i % 2))
		echo "$1 exit $? $(grep -o '"verdict":"[a-z-]*"' "$work/out-$1" |
			head -1)"
	done >"$work/codes-$1"
}

publish_target() { # WHAT
	operator publish --inventory "$work/target.csv" --json \
		--rules "$work/target.json" >"$work/out-target"
	expect "$1" $? 0
	grep -o '"rollout_ms":[0-9]*' "$work/out-target"
}

start_all
publish ann 3
expect "first" $? 0
echo "trial: 40 in a row"
rollouts 40
before=$(version)
many ann 3 &
first=$!
many ben 5 &
second=$!
wait $first $second
echo "trial: two operators at once, 25 publications each"
cat "$work/codes-ann" "$work/codes-ben" | sort | uniq -c
accepted=$(cat "$work/codes-ann" "$work/codes-ben" | grep -c accepted)
others=$(cat "$work/codes-ann" "$work/codes-ben" | grep -vc 'exit [04]')
echo "trial: version $before, then $(version), accepted $accepted"
[ "$(version)" -eq $((before + accepted)) ] && [ "$others" -eq 0 ] || failed=1
echo "trial: log slower by 300 ms, 12 in a row"
platform POST "/fault?log_slow_ms=300" >/dev/null
rollouts 12
platform POST "/fault?log_slow_ms=0" >/dev/null
kill -STOP "${pid_of[entry-2]}"
publish ann 6 --wait-ms 1500
expect "entry-2 frozen" $? 7
kill -CONT "${pid_of[entry-2]}"
publish ann 6
expect "entry-2 woken, the same again" $? 0
kill -STOP "${pid_of[platform]}"
publish ann 3 --wait-ms 2000 --timeout-ms 8000
expect "platform frozen" $? 6
kill -CONT "${pid_of[platform]}"
sleep 3
publish ann 3
expect "platform woken, the same again" $? 0
target_inventory 7
target_rules
publish_target "5,100 workers"
target_inventory 8
publish_target "one of 5,100 workers changed"
for i in 1 2 3; do
	grep VmRSS "/proc/${pid_of[entry-$i]}/status"
done
[ $failed = 0 ] && echo "trial: passed" || echo "trial: FAILED"
exit $failed
