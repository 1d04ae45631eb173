#!/usr/bin/env bash
# The whole path by itself: platform stand-in, six minions, three entry
# processes; an inventory is published, callers send requests, a minion and an
# entry process are killed, and what the callers were told is checked against
# what the minions ran. Stops everything by itself within 60 s.
set -eu
BUILD=$1
. scripts/cluster.sh
start_all
operator publish --inventory "$work/inventory.json" --rules "$work/rules.json"
sleep 2
operator job submit report-1 front --team parks --idempotent >/dev/null
operator wave plan front | tail -8
callers --requests 6000 --seconds 32 --threads 48 >"$work/callers.out" 2>&1 &
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
echo "demo: starting a maintenance wave over all six workers"
operator wave start front >"$work/wave.out"
wave=$(awk '$1 == "wave" { print $2 }' "$work/wave.out")
for _ in $(seq 60); do
	operator status --json >"$work/status.json" || true
	grep -q "\"running\"" "$work/status.json" || break
	sleep 0.5
done
boots=0
for i in 1 2 3 4 5 6; do
	platform GET "/workers/w$i" | grep -q '"boots":1' && boots=$((boots + 1))
done
echo "demo: wave $wave ended, $boots of 6 workers were rebooted"
code=0
[ "$boots" = 6 ] || code=1
wait "$callers_pid" || code=1
cat "$work/callers.out"
exit $code
