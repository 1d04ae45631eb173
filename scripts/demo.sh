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
callers --requests 3000 --seconds 15 --threads 48 >"$work/callers.out" 2>&1 &
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
code=0
wait "$callers_pid" || code=$?
cat "$work/callers.out"
exit $code
