#!/usr/bin/env bash
# Starts a cell of three data centres as separate processes, submits jobs and requests of both users,
# Lakeshore and Svacinka, and checks every result. Exits 0 only if all results are correct.
set -euo pipefail
cd "$(dirname "$0")/.."
work_dir=$(mktemp -d)
pids=()
failures=0

clean_up() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work_dir"
}
trap clean_up EXIT

# start_process NAME COMMAND...: runs a process in the background, with its output in
# $work_dir/NAME.log.
start_process() {
  local name=$1
  shift
  "$@" >"$work_dir/$name.log" 2>&1 &
  pids+=($!)
}

# wait_for FILE PATTERN: waits up to 10 s until a line of the file matches the pattern.
wait_for() {
  for _ in $(seq 200); do
    grep -q "$2" "$1" 2>/dev/null && return 0
    sleep 0.05
  done
  echo "demo: timed out: no line matches \"$2\" in $1:" >&2
  cat "$1" >&2
  return 1
}

# address_in FILE: prints the first address and port in a file.
address_in() { grep -oE '[0-9]+\.[0-9]+\.[0-9]+\.[0-9]+:[0-9]+' "$1" | head -n 1; }

# expect DESCRIPTION WANT GOT: prints whether GOT is WANT, and counts a wrong answer if it is not.
expect() {
  if [ "$2" = "$3" ]; then
    echo "ok: $1"
  else
    echo "WRONG: $1: want \"$2\", got \"$3\""
    failures=$((failures + 1))
  fi
}

# wait_for_row STATEMENT PATTERN: runs a statement again and again, for up to 15 s, until a line of the
# output matches the pattern. Counts a wrong answer if none does.
wait_for_row() {
  for _ in $(seq 150); do
    bin/lentilrock do "$1" 2>/dev/null | grep -qE "$2" && return 0
    sleep 0.1
  done
  echo "WRONG: timed out: no row matches \"$2\" in \"$1\":"
  bin/lentilrock do "$1" || true
  failures=$((failures + 1))
}

started_at=$(date +%s)
start_process log bin/platform log
start_process hosts bin/platform hosts
wait_for "$work_dir/log.log" "listens on"
wait_for "$work_dir/hosts.log" "listens on"
log_address=$(address_in "$work_dir/log.log")
hosts_address=$(address_in "$work_dir/hosts.log")

# start_data_centre DATA_CENTRE REGION SERVICE MEMORY: starts the workers and upstreams of a data
# centre. MEMORY is the memory of each worker in bytes.
start_data_centre() {
  start_process "workers-$1" bin/platform workers --hosts "$hosts_address" --data-centre "$1" --region "$2" \
    --count 16 --memory-bytes "$4"
  start_process "upstreams-$1" bin/platform upstreams --hosts "$hosts_address" --data-centre "$1" --region "$2" \
    --count 16 --service "$3"
}

# start_entry_host NAME DATA_CENTRE REGION DATA_CENTRES: starts an entry host. DATA_CENTRES lists all
# data centres of the cell.
start_entry_host() {
  cat >"$work_dir/$1.ini" <<INI
[host]
name = $1
data_centre = $2
region = $3
listen = 127.0.0.1:0

[cell]
data_centres = $4

[platform]
log = $log_address
hosts = $hosts_address
INI
  bin/lentilrock check "$work_dir/$1.ini" >/dev/null
  start_process "$1" bin/lentilrock serve "$work_dir/$1.ini"
  wait_for "$work_dir/$1.log" "Listening"
  bin/platform enlist --hosts "$hosts_address" --name "$1" --data-centre "$2" --region "$3" "$(address_in "$work_dir/$1.log")"
}

data_centres=morava-brno,cechy-praha,slezsko-ostrava
start_data_centre morava-brno morava objednavky 68719476736
start_data_centre cechy-praha cechy shedwatch 34359738368
start_data_centre slezsko-ostrava slezsko objednavky 68719476736
# morava-brno gets three entry hosts and each of the others two: 7 in total.
for dc in morava-brno:morava cechy-praha:cechy slezsko-ostrava:slezsko; do
  for n in 1 2 3; do
    [ "$n" = 3 ] && [ "${dc%%:*}" != morava-brno ] && continue
    start_entry_host "${dc%%:*}-e$n" "${dc%%:*}" "${dc##*:}" "$data_centres"
  done
done
LENTILROCK_HOST=$(address_in "$work_dir/morava-brno-e1.log")
export LENTILROCK_HOST LENTILROCK_OPERATOR=demo

echo "== start-up: each data centre gets a claim holder, and quotas are set"
for dc in morava-brno cechy-praha slezsko-ostrava; do
  wait_for_row "show shards" "$dc/0 .* holding"
done
# Repeats a configuration change until it is accepted; "lost" means that an earlier attempt took effect.
wait_for_row "set note.greeting = hello" "applied|lost"
bin/lentilrock do "quota svacinka = 60"
bin/lentilrock do "quota lakeshore = 40"

echo "== quick requests"
answer=$(bin/lentilrock request objednavky "25 boxes for class 4B" --key morava-brno:order-1 --once --urgent)
expect "an order gets its response" "done: 25 boxes for class 4B" "$answer"
answer=$(bin/lentilrock request objednavky "25 boxes for class 4B" --key morava-brno:order-1 --once --urgent)
expect "a repeated order with the same key gets the first response" "done: 25 boxes for class 4B" "$answer"
answer=$(bin/lentilrock request shedwatch "fan 3 of shed 12" --key cechy-praha:alert-1 --once --urgent)
expect "an alert check in another region gets its response" "done: fan 3 of shed 12" "$answer"
status=0
bin/lentilrock request objednavky "30 boxes" --key morava-brno:order-1 --once 2>/dev/null || status=$?
expect "a request with the key of an order and another body is refused" "1" "$status"

echo "== the three kinds of jobs"
bin/lentilrock do <<'WORK'
submit batch morava-brno:menu-plan team svacinka tasks 20 cores 0.5 memory 256Mi run_time 300ms
submit service morava-brno:dispatch team svacinka tasks 4 cores 1 memory 512Mi min_running 3
submit gang cechy-praha:night-logs team lakeshore tasks 6 cores 2 memory 1Gi run_time 400ms
submit service cechy-praha:sensors team lakeshore tasks 3 cores 1 memory 512Mi
WORK
status=0
bin/lentilrock do "submit batch morava-brno:huge team svacinka cores 900 memory 1Gi" 2>/dev/null || status=$?
expect "a job larger than any worker is refused" "1" "$status"
wait_for_row "show jobs" "menu-plan .* done"
wait_for_row "show jobs" "night-logs .* done"
wait_for_row "show jobs" "dispatch .* running .* 4 .* 4"
wait_for_row "show jobs" "huge .* refused"

echo "== operator queries and a cancellation"
bin/lentilrock do "show jobs order by job"
bin/lentilrock do "show fleet"
bin/lentilrock do "cancel cechy-praha:sensors"
wait_for_row "show jobs" "sensors .* cancelled"
bin/lentilrock do "show audit order by at desc limit 8"

runs=0
for dc in morava-brno slezsko-ostrava cechy-praha; do
  for address in $(bin/lentilrock do "show hosts where role = upstream" | awk -v dc="$dc" '$4 == dc {print $6}'); do
    found=$(bin/platform get "$address" /runs | grep -o '"id"' | wc -l) || true
    runs=$((runs + found))
  done
done
expect "each order and alert request was executed once" "2" "$runs"

echo "== graceful shutdown"
for i in "${!pids[@]}"; do kill "${pids[$i]}" 2>/dev/null || true; done
wait 2>/dev/null || true
# 7 is the total number of entry hosts, see above.
drained=$(grep -l "Left with nothing in flight" "$work_dir"/*-e*.log | wc -l)
expect "every entry host shut down with nothing in flight" "7" "$drained"
pids=()
echo "demo: $failures wrong, $(($(date +%s) - started_at)) s"
[ "$failures" = 0 ]
