# Sourced by demo.sh and chaos.sh: starts the platform stand-in, minions and
# entry processes on loopback, and stops them. Set BUILD first. Everything it
# starts is in the arrays below and is ended by stop_all.

work=$(mktemp -d)
# A hundred ports that nobody listens on. The lock, which ends with the last
# process of the run, keeps apart two runs that start at the same time.
port_base=
until [ -n "$port_base" ]; do
	port_slot=$((RANDOM % 110))
	exec 9>"${TMPDIR:-/tmp}/waxwinghollow-ports-$port_slot.lock"
	flock -n 9 || continue
	port_base=$((20000 + port_slot * 100))
	for port in $port_base $((port_base + 10)) $((port_base + 11)) \
		$((port_base + 40)); do
		(exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null || continue
		port_base=
		break
	done
done
platform_port=$port_base
declare -A pid_of
minions=(session-1 session-2 session-3 party-1 party-2 party-3)

start() { # NAME COMMAND...
	local name=$1
	shift
	"$@" >>"$work/$name.log" 2>&1 &
	pid_of[$name]=$!
}

stop() { # NAME SIGNAL
	local pid=${pid_of[$1]:-}
	[ -n "$pid" ] || return 0
	kill "-$2" "$pid" 2>/dev/null || true
	wait "$pid" 2>/dev/null
	local code=$?
	unset "pid_of[$1]"
	return $code
}

stop_all() {
	local name
	for name in "${!pid_of[@]}"; do
		kill -CONT "${pid_of[$name]}" 2>/dev/null || true
		kill -KILL "${pid_of[$name]}" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	[ -n "${KEEP_LOGS:-}" ] && echo "logs: $work" || rm -rf "$work"
}
trap stop_all EXIT

platform() { # METHOD PATH
	curl -sS -m 5 -X "$1" "http://127.0.0.1:$platform_port$2"
}

minion_port() { # INDEX
	echo $((port_base + 40 + $1))
}

entry_port() { # NUMBER OFFSET
	echo $((port_base + 10 * $1 + $2))
}

start_platform() {
	start platform "$BUILD/platform" --listen "127.0.0.1:$platform_port" \
		--list-lag-ms 1000 --seed 1
	until platform GET /stats >/dev/null 2>&1; do sleep 0.05; done
	platform POST "/fault?reboot_ms=500&drain_ms=100" >/dev/null
	for i in 1 2 3 4 5 6; do
		platform POST "/workers/w$i" >/dev/null
		host_state worker "w$i" live "127.0.1.$i"
	done
}

start_minion() { # INDEX
	local name=${minions[$1]}
	start "$name" "$BUILD/minion" --listen "$(minion_port "$1")" \
		--id "$name" --service-ms 20 --jitter-ms 40 \
		--runs "$work/runs-$name"
}

host_state() { # KIND ID STATE ADDRESS
	platform POST "/hosts/$2?kind=$1&state=$3&address=$4&zone=dub-a" \
		>/dev/null
}

start_entry() { # NUMBER
	local zone=dub-$(echo abc | cut -c"$1")
	cat >"$work/entry-$1.json" <<-SETTINGS
	{
		"process_id": "entry-$1",
		"availability_zone": "$zone",
		"region": "ie",
		"caller_listen": "127.0.0.1:$(entry_port "$1" 0)",
		"operator_listen": "127.0.0.1:$(entry_port "$1" 1)",
		"peer_listen": "127.0.0.1:$(entry_port "$1" 2)",
		"peers": ["127.0.0.1:$(entry_port 1 2)", "127.0.0.1:$(entry_port 2 2)",
			"127.0.0.1:$(entry_port 3 2)"],
		"platform_url": "http://127.0.0.1:$platform_port",
		"ready_off_ms": 500,
		"worker_leave_ms": 300,
		"worker_look_ms": 200,
		"worker_check_ms": 300,
		"worker_slow_start_ms": 500,
		"rehearsal_hold_ms": 3000,
		"log_level": "info"
	}
	SETTINGS
	start "entry-$1" "$BUILD/waxwinghollow" serve \
		--settings "$work/entry-$1.json"
	host_state entry "entry-$1" live "127.0.0.1:$(entry_port "$1" 2)"
}

write_inventory() {
	{
		echo '{ "workers": ['
		for i in 1 2 3 4 5 6; do
			local zone=dub-$(echo abcabc | cut -c$i)
			echo "{ \"id\": \"w$i\", \"address\": \"127.0.1.$i\"," \
				"\"rack\": \"r$i\", \"zone\": \"$zone\"," \
				"\"region\": \"ie\", \"pool\": \"front\"," \
				"\"cores\": 32, \"memory_mb\": 131072 }$([ $i = 6 ] || echo ,)"
		done
		echo '], "minions": ['
		for i in 0 1 2 3 4 5; do
			local name=${minions[$i]}
			echo "{ \"id\": \"$name\", \"service\": \"${name%-*}\"," \
				"\"worker\": \"w$((i + 1))\", \"address\": \"127.0.0.1\"," \
				"\"port\": $(minion_port $i) }$([ $i = 5 ] || echo ,)"
		done
		echo '] }'
	} >"$work/inventory.json"
	cat >"$work/rules.json" <<-RULES
	{
		"pools": [{ "id": "front", "lose_count": 3, "reserve": "worker" }],
		"services": [
			{ "id": "session", "path_prefix": "/session", "pool": "front",
			  "team": "parks", "urgent": true, "deadline_ms": 5000 },
			{ "id": "party", "path_prefix": "/party", "pool": "front",
			  "team": "parks", "deadline_ms": 5000 }
		],
		"teams": [{ "id": "parks", "cores": 192, "memory_mb": 786432 }],
		"windows": [{ "id": "always", "pool": "*",
			"days": ["mon", "tue", "wed", "thu", "fri", "sat", "sun"],
			"start_minute": "00:00", "duration_minutes": 1440 }],
		"rules": { "buffer_weight": 0, "move_weight": 1 }
	}
	RULES
}

start_all() {
	start_platform
	for i in 0 1 2 3 4 5; do
		start_minion $i
		host_state minion "${minions[$i]}" live "127.0.0.1:$(minion_port $i)"
	done
	for i in 1 2 3; do start_entry $i; done
	write_inventory
	for i in 1 2 3; do
		until curl -s -m 1 "http://127.0.0.1:$(entry_port $i 1)/v1/ready" |
			grep -q ready; do sleep 0.05; done
	done
}

operator() { # COMMAND ARGUMENTS...: any entry process may be asked
	local verb=$1
	shift
	"$BUILD/waxwinghollow" "$verb" \
		--server "127.0.0.1:$(entry_port 1 1)" \
		--server "127.0.0.1:$(entry_port 2 1)" \
		--server "127.0.0.1:$(entry_port 3 1)" "$@"
}

callers() { # ARGUMENTS...
	local entries runs
	entries=127.0.0.1:$(entry_port 1 0),127.0.0.1:$(entry_port 2 0),127.0.0.1:$(entry_port 3 0)
	runs=$(printf "$work/runs-%s," "${minions[@]}")
	"$BUILD/caller" --entries "$entries" --paths /session,/party \
		--runs "${runs%,}" "$@"
}
