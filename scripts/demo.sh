#!/usr/bin/env bash
# The whole path by itself: platform stand-in, six minions, three entry
# processes; an inventory is published, callers send requests, a minion and an
# entry process are killed, and what the callers were told is checked against
# what the minions ran. Stops everything by itself within 60 s.
set -eu
BUILD=$1
. scripts/cluster.sh
# check WHAT COMMAND...: the command holds within ten seconds, or the demo fails
code=0
check() {
	local what=$1
	shift
	for _ in $(seq 40); do
		if "$@" >/dev/null 2>&1; then
			echo "demo: $what"
			return 0
		fi
		sleep 0.25
	done
	echo "demo: NOT so: $what"
	code=1
}
task_is() { platform GET /tasks | grep -q "\"$1\",\"worker_id\":\"[a-z0-9]*\",\"state\":\"$2\""; }
task_is_not() { ! task_is "$1" "$2"; }
pool_has() { operator status --json | tr -d ' \n' | grep -q "{\"id\":\"$1\",\"workers\":$2,\"out\":0"; }
rehearsal_passed() { operator rehearse report "$1" | grep -q 'passed'; }

start_all
# worker w6 is in a pool of its own, so that a move has somewhere to go
sed -i '/"id": "w6"/s/"pool": "front"/"pool": "spare"/' "$work/inventory.json"
sed -i 's/"pools": \[/&{ "id": "spare", "lose_count": 6 }, /' "$work/rules.json"
operator publish --inventory "$work/inventory.json" --rules "$work/rules.json"
sleep 2
operator job submit report-1 front --team parks --idempotent >/dev/null
check "job report-1 runs" task_is report-1 running
operator wave plan front | tail -8
operator status --capacity
callers --requests 6000 --seconds 36 --threads 48 >"$work/callers.out" 2>&1 &
callers_pid=$!
sleep 3
echo "demo: killing minion session-2"
stop session-2 KILL || true
host_state minion session-2 gone "127.0.0.1:$(minion_port 1)"
sleep 3
echo "demo: killing entry process entry-3"
stop entry-3 KILL || true
host_state entry entry-3 gone "127.0.0.1:$(entry_port 3 2)"
sleep 3
echo "demo: shutting entry process entry-2 down gracefully"
host_state entry entry-2 leaving "127.0.0.1:$(entry_port 2 2)"
stop entry-2 TERM && echo "demo: entry-2 ended with exit 0"
echo "demo: starting a maintenance wave over the five workers of pool front"
operator wave start front >"$work/wave.out"
wave=$(awk '$1 == "wave" { print $2 }' "$work/wave.out")
for _ in $(seq 60); do
	operator status --json >"$work/status.json" || true
	grep -q "\"running\"" "$work/status.json" || break
	sleep 0.5
done
boots=0
for i in 1 2 3 4 5; do
	platform GET "/workers/w$i" | grep -q '"boots":1' && boots=$((boots + 1))
done
echo "demo: wave $wave ended, $boots of 5 workers were rebooted"
[ "$boots" = 5 ] || code=1
operator rehearse worker w1 >"$work/rehearsal.out"
rehearsal=$(awk '$1 == "rehearsal" { print $2 }' "$work/rehearsal.out")
check "the rehearsed loss of w1 passed" rehearsal_passed "$rehearsal"
check "w1 is back" pool_has front 5
operator move start w2 spare >/dev/null
check "w2 has moved to pool spare" pool_has spare 2
operator job cancel report-1 >/dev/null
check "job report-1 runs nowhere" task_is_not report-1 running
wait "$callers_pid" || code=1
cat "$work/callers.out"
exit $code
