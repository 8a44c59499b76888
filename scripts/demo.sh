#!/usr/bin/env bash
# Starts a cell of three places as separate processes, sends the work of both users, and
# checks each answer. Exits 0 only where every answer was right.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
failures=0

stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop_all EXIT

# start NAME COMMAND...: runs a process in the background with its output in a file.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}

# wait_for FILE PATTERN: waits until a line of the file has the pattern.
wait_for() {
  for _ in $(seq 200); do
    grep -q "$2" "$1" 2>/dev/null && return 0
    sleep 0.05
  done
  echo "demo: no \"$2\" in $1:" >&2
  cat "$1" >&2
  return 1
}

# address_in FILE: the address that a process printed.
address_in() { grep -oE '[0-9]+\.[0-9]+\.[0-9]+\.[0-9]+:[0-9]+' "$1" | head -n 1; }

# expect WHAT WANT GOT: counts a wrong answer.
expect() {
  if [ "$2" = "$3" ]; then
    echo "ok: $1"
  else
    echo "WRONG: $1: want \"$2\", got \"$3\""
    failures=$((failures + 1))
  fi
}

# until_row STATEMENT PATTERN: waits until a row of a query matches.
until_row() {
  for _ in $(seq 150); do
    bin/lentilrock do "$1" 2>/dev/null | grep -qE "$2" && return 0
    sleep 0.1
  done
  echo "WRONG: no row \"$2\" in \"$1\":"
  bin/lentilrock do "$1" || true
  failures=$((failures + 1))
}

begun=$(date +%s)
start log bin/platform log
start hosts bin/platform hosts
wait_for "$work/log.log" "listens on"
wait_for "$work/hosts.log" "listens on"
log=$(address_in "$work/log.log")
hosts=$(address_in "$work/hosts.log")

# places PLACE REGION SERVICE MEMORY: workers, upstreams and entry hosts of a data centre.
place() {
  start "workers-$1" bin/platform workers --hosts "$hosts" --data-centre "$1" --region "$2" \
    --count 16 --memory-bytes "$4"
  start "upstreams-$1" bin/platform upstreams --hosts "$hosts" --data-centre "$1" --region "$2" \
    --count 16 --service "$3"
}

# entry NAME PLACE REGION CELL: one entry host.
entry() {
  cat >"$work/$1.ini" <<INI
[host]
name = $1
data_centre = $2
region = $3
listen = 127.0.0.1:0

[cell]
data_centres = $4

[platform]
log = $log
hosts = $hosts
INI
  bin/lentilrock check "$work/$1.ini" >/dev/null
  start "$1" bin/lentilrock serve "$work/$1.ini"
  wait_for "$work/$1.log" "Listening"
  bin/platform enlist --hosts "$hosts" --name "$1" --data-centre "$2" --region "$3" "$(address_in "$work/$1.log")"
}

cell=morava-brno,cechy-praha,slezsko-ostrava
place morava-brno morava objednavky 68719476736
place cechy-praha cechy shedwatch 34359738368
place slezsko-ostrava slezsko objednavky 68719476736
for dc in morava-brno:morava cechy-praha:cechy slezsko-ostrava:slezsko; do
  for n in 1 2 3; do
    [ "$n" = 3 ] && [ "${dc%%:*}" != morava-brno ] && continue
    entry "${dc%%:*}-e$n" "${dc%%:*}" "${dc##*:}" "$cell"
  done
done
LENTILROCK_HOST=$(address_in "$work/morava-brno-e1.log")
export LENTILROCK_HOST LENTILROCK_OPERATOR=demo

echo "== the cell takes shape"
for dc in morava-brno cechy-praha slezsko-ostrava; do
  until_row "show shards" "$dc/0 .* holding"
done
until_row "set note.greeting = hello" "applied|lost"
bin/lentilrock do "quota svacinka = 60"
bin/lentilrock do "quota lakeshore = 40"

echo "== quick requests"
answer=$(bin/lentilrock request objednavky "25 boxes for class 4B" --key morava-brno:order-1 --once --urgent)
expect "an order is confirmed" "done: 25 boxes for class 4B" "$answer"
answer=$(bin/lentilrock request objednavky "25 boxes for class 4B" --key morava-brno:order-1 --once --urgent)
expect "the same order again gets the first answer" "done: 25 boxes for class 4B" "$answer"
answer=$(bin/lentilrock request shedwatch "fan 3 of shed 12" --key cechy-praha:alert-1 --once --urgent)
expect "an alert check in another region is answered" "done: fan 3 of shed 12" "$answer"
status=0
bin/lentilrock request objednavky "30 boxes" --key morava-brno:order-1 --once 2>/dev/null || status=$?
expect "the key of an order with another body is refused" "1" "$status"

echo "== the three kinds of jobs"
bin/lentilrock do <<'WORK'
submit batch morava-brno:menu-plan team svacinka tasks 20 cores 0.5 memory 256Mi run_time 300ms
submit service morava-brno:dispatch team svacinka tasks 4 cores 1 memory 512Mi min_running 3
submit gang cechy-praha:night-logs team lakeshore tasks 6 cores 2 memory 1Gi run_time 400ms
submit service cechy-praha:sensors team lakeshore tasks 3 cores 1 memory 512Mi
WORK
status=0
bin/lentilrock do "submit batch morava-brno:huge team svacinka cores 900 memory 1Gi" 2>/dev/null || status=$?
expect "a job that can never run is refused" "1" "$status"
until_row "show jobs" "menu-plan .* done"
until_row "show jobs" "night-logs .* done"
until_row "show jobs" "dispatch .* running .* 4 .* 4"
until_row "show jobs" "huge .* refused"

echo "== what operators see"
bin/lentilrock do "show jobs order by job"
bin/lentilrock do "show fleet"
bin/lentilrock do "cancel cechy-praha:sensors"
until_row "show jobs" "sensors .* cancelled"
bin/lentilrock do "show audit order by at desc limit 8"

runs=0
for dc in morava-brno slezsko-ostrava cechy-praha; do
  for address in $(bin/lentilrock do "show hosts where role = upstream" | awk -v dc="$dc" '$4 == dc {print $6}'); do
    found=$(bin/platform get "$address" /runs | grep -o '"id"' | wc -l) || true
    runs=$((runs + found))
  done
done
expect "each order and alert ran once" "2" "$runs"

echo "== a graceful end"
for i in "${!pids[@]}"; do kill "${pids[$i]}" 2>/dev/null || true; done
wait 2>/dev/null || true
left=$(grep -l "Left with nothing in flight" "$work"/*-e*.log | wc -l)
expect "every entry host left with nothing in flight" "7" "$left"
pids=()
echo "demo: $failures wrong, $(($(date +%s) - begun)) s"
[ "$failures" = 0 ]
