#!/usr/bin/env bash
# Runs the benchmarks whose results docs/MEASUREMENTS.md records. The arguments select the parts to
# run, all by default:
#
#   decide    time of a scheduling decision
#   policy    the planner compared with the baseline schedulers
#   latency   latency that an entry host adds to a quick request
#   urgent    time until an urgent job starts on a busy cluster
#   idle      resource usage of an idle entry host
#   state     resource usage of the claim holder by number of running tasks
#   recovery  time until another host takes over after the claim holder is killed
set -uo pipefail
cd "$(dirname "$0")/.."
work_dir=$(mktemp -d)
pids=()
clean_up() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$work_dir"
}
trap clean_up EXIT

# start_process NAME COMMAND...: runs a process in the background, with its output in
# $work_dir/NAME.log, and sets last_pid.
start_process() {
  local name=$1
  shift
  "$@" >"$work_dir/$name.log" 2>&1 &
  pids+=($!)
  last_pid=$!
}
# address_in FILE: prints the first address and port in a file.
address_in() { grep -oE '[0-9]+\.[0-9]+\.[0-9]+\.[0-9]+:[0-9]+' "$1" | head -n 1; }
# wait_for FILE PATTERN: waits up to 20 s until a line of the file matches the pattern. After a time-out
# it prints a message, and the script goes on.
wait_for() { for _ in $(seq 400); do grep -q "$2" "$1" 2>/dev/null && return; sleep 0.05; done; echo "timed out: no line matches \"$2\" in $1"; }

# start_cell WORKERS UPSTREAMS MILLI_CORES ENTRY_HOSTS: starts the processes of a data centre, waits
# until an entry host holds the claim of the shard, and sets the quota of the team. It sets
# first_address to the address of the first entry host, and pid_eN to the process ID of entry host N.
# MILLI_CORES is the capacity of each worker. If no host holds the claim within 200 queries, it goes on
# without one.
start_cell() {
  start_process log bin/platform log
  start_process hosts bin/platform hosts
  wait_for "$work_dir/log.log" listens
  wait_for "$work_dir/hosts.log" listens
  log_address=$(address_in "$work_dir/log.log")
  hosts_address=$(address_in "$work_dir/hosts.log")
  start_process workers bin/platform workers --hosts "$hosts_address" --data-centre erie-a --region erie --count "$1" \
    --milli-cores "$3"
  start_process upstreams bin/platform upstreams --hosts "$hosts_address" --data-centre erie-a --region erie --count "$2" \
    --service shedwatch
  for n in $(seq "$4"); do
    printf '[host]\nname = e%s\ndata_centre = erie-a\nregion = erie\nlisten = 127.0.0.1:0\n[cell]\ndata_centres = erie-a\n[platform]\nlog = %s\nhosts = %s\n' \
      "$n" "$log_address" "$hosts_address" >"$work_dir/e$n.ini"
    start_process "e$n" bin/lentilrock serve "$work_dir/e$n.ini"
    eval "pid_e$n=$last_pid"
    wait_for "$work_dir/e$n.log" Listening
    bin/platform enlist --hosts "$hosts_address" --name "e$n" --data-centre erie-a --region erie "$(address_in "$work_dir/e$n.log")"
    # Lets e1 claim the shard before the other hosts start: idle, state and recovery measure e1 as the
    # holder.
    [ "$n" = 1 ] && sleep 2
  done
  first_address=$(address_in "$work_dir/e1.log")
  for _ in $(seq 200); do
    bin/lentilrock do --host "$first_address" "show shards" | grep -q "holding" && break
    sleep 0.1
  done
  bin/lentilrock do --host "$first_address" "quota lakeshore = 100" >/dev/null
}
# stop_cell kills all processes of the cell.
stop_cell() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null; done
  wait 2>/dev/null
  pids=()
}

decide() {
  echo "== scheduling decisions (go test -bench)"
  go test ./internal/bench/comparer/ -run XXX -bench . -benchtime 50000x | grep Benchmark
}

policy() {
  echo "== planner compared with the baseline schedulers, seed 1"
  go run ./internal/bench/report --seed 1
}

latency() {
  echo "== latency added to a quick request, loopback"
  start_cell 4 16 16000 1
  sleep 2
  upstream_address=$(bin/lentilrock do --host "$first_address" "show hosts where role = upstream limit 1" | awk '$2 == "upstream" {print $6}')
  for rate in 250 1000; do
    echo "rate $rate/s, repeatable requests:"
    go run ./internal/bench/loader --host "$first_address" --upstream "$upstream_address" --service shedwatch --rate $rate
  done
  echo "rate 250/s, requests that must not be repeated (each waits for a log append):"
  go run ./internal/bench/loader --host "$first_address" --upstream "$upstream_address" --service shedwatch --rate 250 --once
  stop_cell
}

urgent() {
  echo "== from submission of an urgent job until its task runs (16 workers, 90% busy with batch tasks)"
  start_cell 16 1 16000 3
  bin/lentilrock do --host "$first_address" "submit batch fill team lakeshore tasks 115 cores 2 memory 1Gi run_time 5m" >/dev/null
  sleep 3
  worker_addresses=$(bin/lentilrock do --host "$first_address" "show hosts where role = worker" | awk '$2 == "worker" {print $6}')
  for i in $(seq 20); do
    started_ns=$(date +%s%N)
    bin/lentilrock do --host "$first_address" "submit batch urgent-$i team lakeshore cores 1 memory 1Gi run_time 1s priority urgent" >/dev/null
    sleep 0.3
    for address in $worker_addresses; do
      bin/platform get "$address" /runs | grep -oE '"urgent-'"$i"'","index":0},"attempt":1,"began":"[^"]*"' | sed 's/.*"began":"//; s/"$//'
    done | head -n 1 | while read -r at; do echo $((($(date -d "$at" +%s%N) - started_ns) / 1000000)); done
  done | sort -n | awk '{a[NR] = $1} END {printf "%d of 20 started: median %d ms, longest %d ms\n", NR, a[int((NR + 1) / 2)], a[NR]}'
  stop_cell
}

# process_usage PID: prints the CPU time in clock ticks and the resident memory in KiB of a process.
process_usage() { echo "$(awk '{print $14 + $15}' "/proc/$1/stat") $(awk '/VmRSS/ {print $2}' "/proc/$1/status")"; }
# network_bytes ADDRESS: prints how many bytes an entry host has exchanged with clients and peers.
network_bytes() { exec 3<>"/dev/tcp/${1%:*}/${1#*:}"; printf 'GET /metrics HTTP/1.0\r\n\r\n' >&3; cat <&3 | awk '/client_bytes|peer_bytes/ {n += $2} END {printf "%d", n}'; }

idle() {
  echo "== idle entry host (claim holder of the shard; 3 hosts), by number of workers of its shard"
  for workers in 16 100 300; do
    start_cell "$workers" 16 16000 3
    sleep 3
    before=($(process_usage "$pid_e1")); bytes_before=$(network_bytes "$first_address")
    sleep 10
    after=($(process_usage "$pid_e1")); bytes_after=$(network_bytes "$first_address")
    awk -v w="$workers" -v a="${before[0]}" -v b="${after[0]}" -v r="${after[1]}" -v x="$bytes_before" -v y="$bytes_after" -v hz="$(getconf CLK_TCK)" \
      'BEGIN {printf "workers %d: %.2f%% of a core, %.1f MiB resident, %.1f KB/s\n", w, (b - a) / hz / 10 * 100, r / 1024, (y - x) / 10 / 1000}'
    stop_cell
  done
}

state() {
  echo "== resource usage of the claim holder by number of running tasks (50 workers, 3 hosts)"
  for tasks in 100 1000 10000; do
    start_cell 50 1 400000 3
    bin/lentilrock do --host "$first_address" "submit service many team lakeshore tasks $tasks cores 0.01 memory 1Mi" >/dev/null
    for _ in $(seq 600); do
      bin/lentilrock do --host "$first_address" "show jobs" | grep -qE " $tasks +$tasks " && break
      sleep 0.1
    done
    sleep 2
    before=($(process_usage "$pid_e1")); bytes_before=$(network_bytes "$first_address")
    sleep 8
    after=($(process_usage "$pid_e1")); bytes_after=$(network_bytes "$first_address")
    awk -v n="$tasks" -v a="${before[0]}" -v b="${after[0]}" -v r="${after[1]}" -v x="$bytes_before" -v y="$bytes_after" -v hz="$(getconf CLK_TCK)" \
      'BEGIN {printf "tasks %d: %.2f%% of a core, %.1f MiB resident, %.1f KB/s\n", n, (b - a) / hz / 8 * 100, r / 1024, (y - x) / 8 / 1000}'
    stop_cell
  done
}

recovery() {
  echo "== recovery: from SIGKILL of the claim holder until another host holds the claim and all tasks run"
  for tasks in 100 1000 10000; do
    start_cell 50 1 400000 3
    bin/lentilrock do --host "$first_address" "submit service many team lakeshore tasks $tasks cores 0.01 memory 1Mi" >/dev/null
    second_address=$(address_in "$work_dir/e2.log")
    for _ in $(seq 600); do
      bin/lentilrock do --host "$second_address" "show jobs" | grep -qE " $tasks +$tasks " && break
      sleep 0.1
    done
    appends_before=$(bin/platform get "$log_address" /appends)
    started_ns=$(date +%s%N)
    kill -9 "$pid_e1"
    # The patterns select a row in which e2 or e3 is the holder, not one in which e1 still is: the columns
    # are the shard, the holder and the heir.
    for _ in $(seq 600); do
      bin/lentilrock do --host "$second_address" "show shards" 2>/dev/null | grep -E "e[23]@.*holding" | grep -qv "e1@[^ ]* *e" &&
        bin/lentilrock do --host "$second_address" "show jobs" 2>/dev/null | grep -qE " $tasks +$tasks " && break
      sleep 0.05
    done
    elapsed_ms=$((($(date +%s%N) - started_ns) / 1000000))
    echo "tasks $tasks: $elapsed_ms ms, $(($(bin/platform get "$log_address" /appends) - appends_before)) appends"
    stop_cell
  done
}

for part in "${@:-decide policy latency urgent idle state recovery}"; do
  for p in $part; do "$p"; done
done
