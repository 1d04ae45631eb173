#!/usr/bin/env bash
# chaos.sh BUILD [--seed N] [--seconds N] [--rate N]: callers and operators
# use three real entry processes while a seeded sequence of faults goes on.
# The faults are drawn before the start, so one seed gives one sequence; what
# meets what still depends on the machine. Exit 1, with the logs kept, when
# something that must always hold did not.
set -u
BUILD=$1
shift
seed=1
seconds=40
rate=60
while [ $# -gt 1 ]; do
	case $1 in
	--seed) seed=$2 ;;
	--seconds) seconds=$2 ;;
	--rate) rate=$2 ;;
	*) echo "chaos.sh: unknown option $1" >&2; exit 2 ;;
	esac
	shift 2
done
. scripts/cluster.sh

PROCESS_TEXTS='[Aa]ssertion|Bail out|-CRITICAL|-ERROR|Sanitizer|corrupted'
STOP_LIMIT_S=25
IN_FORCE_LIMIT_S=15
TAKEOVER_LIMIT_S=20
OPERATOR_LIMIT_S=60
SLOTS=8
CONNECTIONS=64
LOSE_COUNT=3 # of the pool, in the rules that cluster.sh writes
minion_modes=(close close-kept silent silent-old truncate truncate-chunked
	no-length refuse fail late leaving)
violations=$work/violations
: >"$violations"
publications=0

violation() { # TEXT
	echo "chaos: VIOLATION: $1" | tee -a "$violations"
}

# Sets drawn to a number from $1 on and below $2. Not by command
# substitution: a subshell would not move this shell's RANDOM on.
draw() {
	drawn=$(($1 + (RANDOM * 32768 + RANDOM) % ($2 - $1)))
}

plan_entry_fault() { # START
	local number busy=0 length kind
	draw 1 4
	number=$drawn
	draw 0 4
	kind=$drawn
	draw 800 9000
	length=$drawn
	# one entry process stays up, or callers would have nobody to ask
	for i in 1 2 3; do
		[ "${entry_free[$i]}" -le "$1" ] || busy=$((busy + 1))
	done
	[ $busy -lt 2 ] && [ "${entry_free[$number]}" -le "$1" ] || return 0
	case $kind in
	0) plan "$1" entry-kill "$number"
		plan $(($1 + length)) entry-start "$number" ;;
	1) plan "$1" entry-kill-listed "$number"
		plan $(($1 + length)) entry-start "$number" ;;
	2) plan "$1" entry-stop "$number"
		plan $(($1 + length)) entry-cont "$number" ;;
	*) plan "$1" entry-term "$number"
		plan $(($1 + length)) entry-ended "$number" ;;
	esac
	entry_free[$number]=$(($1 + length + 2500))
}

plan_minion_fault() { # START
	local index length mode
	draw 0 6
	index=$drawn
	draw 300 6000
	length=$drawn
	draw 0 $((${#minion_modes[@]} + 3))
	mode=$drawn
	[ "${minion_free[$index]}" -le "$1" ] || return 0
	if [ "$mode" -lt ${#minion_modes[@]} ]; then
		plan "$1" minion-mode "$index" "${minion_modes[$mode]}"
		plan $(($1 + length)) minion-mode "$index" ok
	else
		plan "$1" minion-kill "$index" $((mode % 2))
		plan $(($1 + length)) minion-start "$index"
	fi
	minion_free[$index]=$(($1 + length + 500))
}

plan_platform_fault() { # START
	local fault length names=(log_down=1 log_slow_ms=400 log_slow_ms=1500
		log_late_ms=300 lose_append_answers=30 lose_append_answers=100
		list_frozen=1 workers_down=1)
	draw 0 ${#names[@]}
	fault=${names[$drawn]}
	draw 500 7000
	length=$drawn
	[ "$platform_free" -le "$1" ] || return 0
	plan "$1" platform "$fault"
	plan $(($1 + length)) platform "${fault%=*}=0"
	platform_free=$(($1 + length + 300))
}

plan() { # MS EVENT ARGUMENTS...
	echo "$*" >>"$work/plan"
}

plan_all() {
	local at=1500 end=$((seconds * 1000 - 2000))
	local -a entry_free=(0 0 0 0) minion_free=(0 0 0 0 0 0)
	local platform_free=0
	: >"$work/plan"
	RANDOM=$seed
	while [ $at -lt $end ]; do
		draw 0 11
		case $drawn in
		0 | 1 | 2) plan_entry_fault $at ;;
		3 | 4 | 5 | 6) plan_minion_fault $at ;;
		7 | 8) plan_platform_fault $at ;;
		9) plan $at publish ;;
		*) plan $at wave ;;
		esac
		draw 100 900
		at=$((at + drawn))
	done
	sort -n -s -k1,1 -o "$work/plan" "$work/plan"
}

publish_as() { # OPERATOR NUMBER SERVERS...: each one's files are unlike all others
	local name=$1-$2 deadline
	local -a servers=()
	deadline=$((5000 + 2 * $2 + $([ "$1" = ann ] && echo 0 || echo 1)))
	for number in "${@:3}"; do
		servers+=(--server "127.0.0.1:$(entry_port "$number" 1)")
	done
	sed "s/\"deadline_ms\": 5000/\"deadline_ms\": $deadline/" \
		"$work/rules.json" >"$work/rules-$name.json"
	"$BUILD/waxwinghollow" publish "${servers[@]}" --author "$1" --json \
		--inventory "$work/inventory.json" --wait-ms 1500 \
		--rules "$work/rules-$name.json" --timeout-ms 4000 \
		>"$work/publish-$name.out" 2>"$work/publish-$name.err"
	echo $? >"$work/publish-$name.code"
}

publish_both() {
	publications=$((publications + 1))
	publish_as ann $publications 1 2 3 &
	publish_as ben $publications 3 2 1 &
}

signal() { # NAME SIGNAL: to one that may have ended by itself
	[ -z "${pid_of[$1]:-}" ] || kill "-$2" "${pid_of[$1]}" 2>/dev/null
}

# By what they leave, not by their process ids: an id of one that ended long ago
# may be that of a process that runs until the end.
await_operators() {
	local waited=0
	while [ "$(cat "$work"/publish-*.code 2>/dev/null | wc -l)" -lt \
		$((2 * publications)) ]; do
		sleep 0.2
		waited=$((waited + 1))
		if [ $waited -gt $((OPERATOR_LIMIT_S * 5)) ]; then
			violation "an operator waits after $OPERATOR_LIMIT_S s"
			return
		fi
	done
}

await_end() { # NAME: of a process that was told to end
	local pid=${pid_of[$1]:-} code=0 waited=0
	[ -n "$pid" ] || return 0
	while kill -0 "$pid" 2>/dev/null; do
		sleep 0.1
		waited=$((waited + 1))
		if [ $waited -gt $((STOP_LIMIT_S * 10)) ]; then
			violation "$1 did not end within $STOP_LIMIT_S s"
			kill -ABRT "$pid"
			break
		fi
	done
	wait "$pid" 2>/dev/null || code=$?
	unset "pid_of[$1]"
	[ $code = 0 ] || violation "planned stop of $1: exit $code"
}

minion_stats() { # INDEX: what it counted, checked
	local text most
	text=$(curl -s -m 2 "http://127.0.0.1:$(minion_port "$1")/minion/stats")
	echo "${minions[$1]} $text" >>"$work/minion-stats"
	most=$(echo "$text" | grep -o 'max_in_progress": [0-9]*' | grep -o '[0-9]*$')
	[ "${most:-0}" -le $SLOTS ] || violation "${minions[$1]} had $most requests at once"
	most=$(echo "$text" | grep -o 'max_connections": [0-9]*' | grep -o '[0-9]*$')
	[ "${most:-0}" -le $CONNECTIONS ] || violation "${minions[$1]} had $most connections"
}

happen() { # EVENT ARGUMENTS...
	local host
	case $1 in
	entry-kill | entry-kill-listed)
		stop "entry-$2" KILL
		[ "$1" = entry-kill ] || host_state entry "entry-$2" gone \
			"127.0.0.1:$(entry_port "$2" 2)" ;;
	entry-start) start_entry "$2" ;;
	entry-stop) signal "entry-$2" STOP ;;
	entry-cont) signal "entry-$2" CONT ;;
	entry-term)
		host_state entry "entry-$2" leaving \
			"127.0.0.1:$(entry_port "$2" 2)"
		signal "entry-$2" TERM ;;
	entry-ended)
		await_end "entry-$2"
		start_entry "$2" ;;
	minion-mode) curl -s -m 2 -o "$work/discard" \
		"http://127.0.0.1:$(minion_port "$2")/minion/mode/$3" ;;
	minion-kill)
		minion_stats "$2"
		stop "${minions[$2]}" KILL
		[ "$3" = 0 ] || host_state minion "${minions[$2]}" gone \
			"127.0.0.1:$(minion_port "$2")" ;;
	minion-start)
		start_minion "$2"
		host_state minion "${minions[$2]}" live \
			"127.0.0.1:$(minion_port "$2")" ;;
	platform) platform POST "/fault?$2" >/dev/null ;;
	publish) publish_both ;;
	wave)
		operator wave start front --timeout-ms 4000 \
			>>"$work/wave.out" 2>&1 & ;;
	esac
}

# The entry processes that are to run, run; the others are not in pid_of.
check_alive() {
	local name code
	for name in "${!pid_of[@]}"; do
		kill -0 "${pid_of[$name]}" 2>/dev/null && continue
		[[ " $ending " == *" $name "* ]] && continue
		code=0
		wait "${pid_of[$name]}" 2>/dev/null || code=$?
		violation "$name ended by itself: exit $code"
		unset "pid_of[$name]"
	done
}

# The process's own, which stands after those of the members it lists.
status_field() { # TEXT NAME
	echo "$1" | grep -o "\"$2\" *: *\"\?[^,\"}]*" | tail -1 |
		sed 's/.*: *"\?//'
}

# The workers of the pool that are out, as the platform sees them itself.
check_budget() {
	local out
	out=$(curl -s -m 1 "http://127.0.0.1:$platform_port/workers/w[1-6]" |
		grep -o '"state":"[a-z-]*"' | grep -vc '"up"')
	[ "$out" -le $LOSE_COUNT ] ||
		violation "$out workers of the pool were out at once"
	[ "$out" -le "$most_out" ] || most_out=$out
}

# Runs beside the faults: no process goes back to an older configuration, not
# even its next incarnation once that says that it is ready (before, it reads
# the log from its beginning); and the pool
# keeps its budget through all waves.
watch_promises() {
	local -a highest=(0 0 0 0) seen=('' '' '' '')
	local text version ready incarnation most_out=0
	while [ ! -e "$work/watch-end" ] && kill -0 $$ 2>/dev/null; do
		check_budget
		for number in 1 2 3; do
			text=$(curl -s -m 1 "http://127.0.0.1:$(entry_port $number 1)/v1/status") || continue
			version=$(status_field "$text" config_version)
			ready=$(status_field "$text" ready)
			[ -n "$version" ] || continue
			incarnation=$(status_field "$text" incarnation)
			[ "$incarnation" = "${seen[$number]}" ] ||
				[ "$ready" = true ] || continue
			seen[$number]=$incarnation
			[ "$version" -ge "${highest[$number]}" ] ||
				violation "entry-$number went from version ${highest[$number]} to $version"
			highest[$number]=$version
		done
		sleep 0.2
	done
	echo "$most_out" >"$work/most-out"
}

reboots() {
	curl -s -m 2 "http://127.0.0.1:$platform_port/workers/w[1-6]" |
		grep -o '"boots":[0-9]*' | grep -o '[0-9]*$' |
		awk '{ sum += $1 } END { print sum + 0 }'
}

run_plan() {
	local start_ms at event now_ms
	start_ms=$(date +%s%3N)
	while read -r at event; do
		now_ms=$(($(date +%s%3N) - start_ms))
		while [ $now_ms -lt "$at" ]; do
			check_alive
			sleep "$(printf '0.%03d' $((at - now_ms < 200 ? at - now_ms : 200)))"
			now_ms=$(($(date +%s%3N) - start_ms))
		done
		echo "$(date +%T.%3N) $now_ms $event" >>"$work/events"
		case $event in
		entry-term*) ending="$ending entry-${event#* }" ;;
		esac
		# shellcheck disable=SC2086
		happen $event
		case $event in
		entry-ended*) ending=${ending/ entry-${event#* }/} ;;
		esac
	done <"$work/plan"
}

# Nothing is broken any more: the same version everywhere, in bounded time.
check_in_force() {
	local waited=0 text seen=
	while [ $waited -lt $((IN_FORCE_LIMIT_S * 5)) ]; do
		seen=
		for number in 1 2 3; do
			text=$(curl -s -m 1 "http://127.0.0.1:$(entry_port $number 1)/v1/status")
			seen="$seen$(status_field "$text" config_version) $(status_field "$text" config_offset) $(status_field "$text" ready)"$'\n'
		done
		if [ "$(printf %s "$seen" | sort -u | wc -l)" = 1 ] &&
			[[ $seen == *true* ]]; then
			final_version=${seen%% *}
			return
		fi
		sleep 0.2
		waited=$((waited + 1))
	done
	violation "not the same configuration everywhere after $IN_FORCE_LIMIT_S s: $(printf %s "$seen" | tr '\n' ';')"
}

# Nobody dead holds a lease of control work: it would wait for ever.
check_leases() {
	local waited=0 living holders dead=
	living=$(for number in 1 2 3; do
		status_field "$(curl -s -m 1 "http://127.0.0.1:$(entry_port $number 1)/v1/status")" incarnation
	done)
	while [ $waited -lt $((TAKEOVER_LIMIT_S * 5)) ]; do
		holders=$(curl -s -m 1 "http://127.0.0.1:$(entry_port 1 1)/v1/dump" |
			grep -o '"holder" *: *"[^"]*"' | cut -d'"' -f4 | sort -u)
		dead=$(echo "$holders" | grep -vxF "$living" | grep .)
		[ -n "$dead" ] || return
		sleep 0.2
		waited=$((waited + 1))
	done
	violation "leases are held by $dead after $TAKEOVER_LIMIT_S s"
}

check_publications() {
	local accepted=1 unknown=0 code file versions
	for file in "$work"/publish-*.code; do
		[ -e "$file" ] || continue
		code=$(cat "$file")
		case $code in
		0 | 7) accepted=$((accepted + 1)) ;;
		6) unknown=$((unknown + 1)) ;;
		4 | 5) ;;
		*) violation "$(basename "$file"): exit $code" ;;
		esac
	done
	versions=$(cat "$work"/publish-*.out 2>/dev/null |
		grep '"verdict":"accepted"' | grep -o '"version":[0-9]*' | sort)
	[ "$(echo "$versions" | uniq -d)" = "" ] ||
		violation "two publications got $(echo "$versions" | uniq -d)"
	echo "chaos: $((2 * publications)) publications, version $final_version, $((accepted - 1)) accepted, $unknown unknown"
	[ "$final_version" -ge $accepted ] &&
		[ "$final_version" -le $((accepted + unknown)) ] ||
		violation "version $final_version after $accepted accepted and $unknown unknown"
}

check_logs() {
	local file
	for file in "$work"/entry-*.log; do
		grep -nE "$PROCESS_TEXTS" "$file" >"$work/found" || continue
		violation "$(basename "$file"): $(head -1 "$work/found")"
	done
}

echo "chaos: seed $seed, $seconds s"
plan_all
echo "chaos: $(wc -l <"$work/plan") events, sequence $(cksum <"$work/plan" | cut -d' ' -f1)"
start_all
operator publish --author first --inventory "$work/inventory.json" \
	--rules "$work/rules.json" >"$work/first.out" 2>&1 ||
	violation "first publication"
final_version=0
ending=
callers --requests $((seconds * rate)) --seconds "$seconds" --threads 96 \
	--seed "$seed" >"$work/callers.out" 2>&1 &
callers_pid=$!
watch_promises &
watcher_pid=$!
run_plan
await_operators
code=0
wait "$callers_pid" || code=$?
tail -2 "$work/callers.out"
[ $code = 0 ] || violation "callers: $(tail -1 "$work/callers.out")"
check_alive
check_in_force
check_leases
touch "$work/watch-end"
wait "$watcher_pid"
check_publications
echo "chaos: waves rebooted $(reboots) workers, at most $(cat "$work/most-out") were out at once"
for i in 0 1 2 3 4 5; do minion_stats $i; done
for i in 1 2 3; do
	curl -s -m 2 "http://127.0.0.1:$(entry_port $i 1)/v1/dump" \
		>"$work/dump-$i.json"
	signal "entry-$i" TERM
done
for i in 1 2 3; do await_end entry-$i; done
check_logs
if [ -s "$violations" ]; then
	KEEP_LOGS=1
	echo "chaos: FAILED, seed $seed"
	exit 1
fi
echo "chaos: passed, seed $seed"
