#!/usr/bin/env bash
# Prints the figures of docs/MEASUREMENTS.md: decisions, policy, latency, idle cost and
# recovery. Each part can be run alone: scripts/bench.sh decide|policy|latency|urgent|idle|state|recovery
set -uo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$work"
}
trap stop_all EXIT

start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
  last_pid=$!
}
address_in() { grep -oE '[0-9]+\.[0-9]+\.[0-9]+\.[0-9]+:[0-9]+' "$1" | head -n 1; }
wait_for() { for _ in $(seq 400); do grep -q "$2" "$1" 2>/dev/null && return; sleep 0.05; done; echo "no $2 in $1"; }

# cell WORKERS UPSTREAMS MILLI_CORES ENTRIES: a data centre of separate processes.
cell() {
  start log bin/platform log
  start hosts bin/platform hosts
  wait_for "$work/log.log" listens
  wait_for "$work/hosts.log" listens
  log=$(address_in "$work/log.log")
  hosts=$(address_in "$work/hosts.log")
  start workers bin/platform workers --hosts "$hosts" --data-centre erie-a --region erie --count "$1" \
    --milli-cores "$3"
  start upstreams bin/platform upstreams --hosts "$hosts" --data-centre erie-a --region erie --count "$2" \
    --service shedwatch
  for n in $(seq "$4"); do
    printf '[host]\nname = e%s\ndata_centre = erie-a\nregion = erie\nlisten = 127.0.0.1:0\n[cell]\ndata_centres = erie-a\n[platform]\nlog = %s\nhosts = %s\n' \
      "$n" "$log" "$hosts" >"$work/e$n.ini"
    start "e$n" bin/lentilrock serve "$work/e$n.ini"
    eval "pid_e$n=$last_pid"
    wait_for "$work/e$n.log" Listening
    bin/platform enlist --hosts "$hosts" --name "e$n" --data-centre erie-a --region erie "$(address_in "$work/e$n.log")"
    [ "$n" = 1 ] && sleep 2
  done
  first=$(address_in "$work/e1.log")
  for _ in $(seq 200); do
    bin/lentilrock do --host "$first" "show shards" | grep -q "holding" && break
    sleep 0.1
  done
  bin/lentilrock do --host "$first" "quota lakeshore = 100" >/dev/null
}
end_cell() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null; done
  wait 2>/dev/null
  pids=()
}

decide() {
  echo "== decisions (go test -bench Decide)"
  go test ./internal/bench/comparer/ -run XXX -bench . -benchtime 50000x | grep Benchmark
}

policy() {
  echo "== policy against the baselines, seed 1"
  go run ./internal/bench/report --seed 1
}

latency() {
  echo "== added to a quick request, loopback"
  cell 4 16 16000 1
  sleep 2
  upstream=$(bin/lentilrock do --host "$first" "show hosts where role = upstream limit 1" | awk '$2 == "upstream" {print $6}')
  for rate in 250 1000; do
    echo "rate $rate/s, may be repeated:"
    go run ./internal/bench/loader --host "$first" --upstream "$upstream" --service shedwatch --rate $rate
  done
  echo "rate 250/s, may not be repeated (waits for the log):"
  go run ./internal/bench/loader --host "$first" --upstream "$upstream" --service shedwatch --rate 250 --once
  end_cell
}

urgent() {
  echo "== from the submit of an urgent job until its task runs (16 workers, 90% busy with batch)"
  cell 16 1 16000 3
  bin/lentilrock do --host "$first" "submit batch fill team lakeshore tasks 115 cores 2 memory 1Gi run_time 5m" >/dev/null
  sleep 3
  workers=$(bin/lentilrock do --host "$first" "show hosts where role = worker" | awk '$2 == "worker" {print $6}')
  for i in $(seq 20); do
    begun=$(date +%s%N)
    bin/lentilrock do --host "$first" "submit batch urgent-$i team lakeshore cores 1 memory 1Gi run_time 1s priority urgent" >/dev/null
    sleep 0.3
    for address in $workers; do
      bin/platform get "$address" /runs | grep -oE '"urgent-'"$i"'","index":0},"attempt":1,"began":"[^"]*"' | sed 's/.*"began":"//; s/"$//'
    done | head -n 1 | while read -r at; do echo $((($(date -d "$at" +%s%N) - begun) / 1000000)); done
  done | sort -n | awk '{a[NR] = $1} END {printf "%d of 20: median %d ms, longest %d ms\n", NR, a[int((NR + 1) / 2)], a[NR]}'
  end_cell
}

# sample PID: processor time in ticks, and resident KiB.
sample() { echo "$(awk '{print $14 + $15}' "/proc/$1/stat") $(awk '/VmRSS/ {print $2}' "/proc/$1/status")"; }
bytes_of() { exec 3<>"/dev/tcp/${1%:*}/${1#*:}"; printf 'GET /metrics HTTP/1.0\r\n\r\n' >&3; cat <&3 | awk '/client_bytes|peer_bytes/ {n += $2} END {printf "%d", n}'; }

idle() {
  echo "== an idle entry host (holder of the shard; 3 hosts), by workers of its shard"
  for workers in 16 100 300; do
    cell "$workers" 16 16000 3
    sleep 3
    before=($(sample "$pid_e1")); bytes=$(bytes_of "$first")
    sleep 10
    after=($(sample "$pid_e1")); more=$(bytes_of "$first")
    awk -v w="$workers" -v a="${before[0]}" -v b="${after[0]}" -v r="${after[1]}" -v x="$bytes" -v y="$more" -v hz="$(getconf CLK_TCK)" \
      'BEGIN {printf "workers %d: %.2f%% of a core, %.1f MiB resident, %.1f KB/s\n", w, (b - a) / hz / 10 * 100, r / 1024, (y - x) / 10 / 1000}'
    end_cell
  done
}

state() {
  echo "== the holder's cost by running tasks (50 workers, 3 hosts)"
  for tasks in 100 1000 10000; do
    cell 50 1 400000 3
    bin/lentilrock do --host "$first" "submit service many team lakeshore tasks $tasks cores 0.01 memory 1Mi" >/dev/null
    for _ in $(seq 600); do
      bin/lentilrock do --host "$first" "show jobs" | grep -qE " $tasks +$tasks " && break
      sleep 0.1
    done
    sleep 2
    before=($(sample "$pid_e1")); bytes=$(bytes_of "$first")
    sleep 8
    after=($(sample "$pid_e1")); more=$(bytes_of "$first")
    awk -v n="$tasks" -v a="${before[0]}" -v b="${after[0]}" -v r="${after[1]}" -v x="$bytes" -v y="$more" -v hz="$(getconf CLK_TCK)" \
      'BEGIN {printf "tasks %d: %.2f%% of a core, %.1f MiB resident, %.1f KB/s\n", n, (b - a) / hz / 8 * 100, r / 1024, (y - x) / 8 / 1000}'
    end_cell
  done
}

recovery() {
  echo "== recovery: from the holder's SIGKILL until its tasks are cared for again"
  for tasks in 100 1000 10000; do
    cell 50 1 400000 3
    bin/lentilrock do --host "$first" "submit service many team lakeshore tasks $tasks cores 0.01 memory 1Mi" >/dev/null
    second=$(address_in "$work/e2.log")
    for _ in $(seq 600); do
      bin/lentilrock do --host "$second" "show jobs" | grep -qE " $tasks +$tasks " && break
      sleep 0.1
    done
    appends=$(bin/platform get "$log" /appends)
    begun=$(date +%s%N)
    kill -9 "$pid_e1"
    for _ in $(seq 600); do
      bin/lentilrock do --host "$second" "show shards" 2>/dev/null | grep -E "e[23]@.*holding" | grep -qv "e1@[^ ]* *e" &&
        bin/lentilrock do --host "$second" "show jobs" 2>/dev/null | grep -qE " $tasks +$tasks " && break
      sleep 0.05
    done
    took=$((($(date +%s%N) - begun) / 1000000))
    echo "tasks $tasks: $took ms, $(($(bin/platform get "$log" /appends) - appends)) appends"
    end_cell
  done
}

for part in "${@:-decide policy latency urgent idle state recovery}"; do
  for p in $part; do "$p"; done
done
