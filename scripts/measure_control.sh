#!/usr/bin/env bash
# measure_control.sh BUILD PROCESSES SECONDS: entry processes with the target's
# configuration and no callers. Prints what control costs a process at rest and
# for each change, how fast a change is in force everywhere, and how long the
# seats and leases of a killed process stay without a holder.
set -u
BUILD=$1
processes=$2
seconds=$3
. scripts/cluster.sh
. scripts/target.sh

counter() { # PROCESS NAME
	curl -s "http://127.0.0.1:$(entry_port "$1" 1)/v1/counters" |
		awk -v name="$2" '$1 == name { print $2 }'
}

cpu_ticks() { # PROCESS
	awk '{ print $14 + $15 }' "/proc/${pid_of[entry-$1]}/stat"
}

total() { # WHAT...: sum over the processes that run
	local sum=0 i
	for i in $alive; do sum=$((sum + $("$@" "$i"))); done
	echo $sum
}

peer_bytes() { echo $(($(counter "$1" peer.bytes_in) + $(counter "$1" peer.bytes_out))); }
log_bytes() { echo $(($(counter "$1" log.record_bytes) + $(counter "$1" log.append_bytes))); }
log_appends() { counter "$1" log.appends; }
resident_kb() { awk '/VmRSS/ { print $2 }' "/proc/${pid_of[entry-$1]}/status"; }
seats() { counter "$1" seats.held; }
shards() { counter "$1" fleet.shards; }

measure() { # LABEL
	local cpu peers logged appends
	peers=$(total peer_bytes)
	logged=$(total log_bytes)
	appends=$(total log_appends)
	# last, and first below: reading counters of 5,100 minions costs too
	cpu=$(total cpu_ticks)
	threads >"$work/threads"
	sleep "$seconds"
	cpu=$(($(total cpu_ticks) - cpu))
	threads >"$work/threads-after"
	peers=$(($(total peer_bytes) - peers))
	logged=$(($(total log_bytes) - logged))
	appends=$(($(total log_appends) - appends))
	echo "control $1, a process: $((cpu * 100 / $(getconf CLK_TCK) * 1000 / processes / seconds)) thousandths of a percent of a core," \
		"$((peers / processes / seconds)) B/s with peers," \
		"$((logged / processes / seconds)) B/s of records," \
		"$(($(total resident_kb) / processes)) KB resident;" \
		"all: $((appends * 10 / seconds)) appends in 10 s"
	echo "control $1, threads of entry-1 above 0, percent of a core:" \
		"$(join "$work/threads" "$work/threads-after" |
			awk -v s="$seconds" '$3 > $2 { printf "%s %.2f ", $1, ($3 - $2) / s }')"
}

# What each kind of thread of entry-1 has used, in clock ticks.
threads() {
	local task
	for task in "/proc/${pid_of[entry-1]}/task/"*; do
		echo "$(cat "$task/comm") $(awk '{ print $14 + $15 }' "$task/stat")"
	done | awk '{ sum[$1] += $2 } END { for (name in sum) print name, sum[name] }' |
		sort
}

publish_one() { # POOL
	target_inventory "$1"
	"$BUILD/waxwinghollow" publish --server "127.0.0.1:$(entry_port 1 1)" \
		$servers --inventory "$work/target.csv" --json \
		--rules "$work/target.json" >"$work/out" 2>&1
	grep -o '"rollout_ms":[0-9]*' "$work/out" | cut -d: -f2
}

start_platform
alive=$(seq 1 "$processes")
for i in $alive; do start_entry "$i"; done
servers=
for i in $alive; do
	servers="$servers --server 127.0.0.1:$(entry_port "$i" 1)"
	until curl -s -m 1 "http://127.0.0.1:$(entry_port "$i" 1)/v1/ready" |
		grep -q ready; do sleep 0.05; done
done
target_rules
echo "control: $processes processes, whole configuration in force after $(publish_one 7) ms"
sleep 25
measure "at rest"
echo "control: one worker changed, in force everywhere after (ms):" \
	"$(for i in 1 2 3 4 5 6 7 8 9 10; do publish_one $((8 + i % 2)); done | sort -n | tr '\n' ' ')"
before=$(total cpu_ticks)
for i in 1 2 3 4 5 6 7 8 9 10; do publish_one $((8 + i % 2)) >/dev/null; done
echo "control: $((($(total cpu_ticks) - before) * 1000 / $(getconf CLK_TCK) / 10 / processes)) ms of a core a process for each change, ten in a row"
echo "control: killing entry-$processes, which holds $(seats "$processes") seats and $(shards "$processes") shards"
stop "entry-$processes" KILL
host_state entry "entry-$processes" gone "127.0.0.1:$(entry_port "$processes" 2)"
killed=$(date +%s%3N)
alive=$(seq 1 $((processes - 1)))
seats_ms=
shards_ms=
for _ in $(seq 1 300); do
	now=$(($(date +%s%3N) - killed))
	[ -z "$seats_ms" ] && [ "$(total seats)" = 8 ] && seats_ms=$now
	[ -z "$shards_ms" ] && [ "$(total shards)" = 32 ] && shards_ms=$now
	[ -n "$seats_ms" ] && [ -n "$shards_ms" ] && break
	sleep 0.2
done
echo "control: all seats held again after ${seats_ms:-over 60000} ms, all shards after ${shards_ms:-over 60000} ms"
