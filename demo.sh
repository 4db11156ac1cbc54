#!/usr/bin/env bash
# Builds azurecross and shows the whole path on this machine: a platform
# stand-in, entries in two availability zones, engines of unlike speed and a
# plain service. All processes listen on 127.0.0.1 and end with this script.
set -euo pipefail
cd "$(dirname "$0")"

tools/install-packages.sh
cmake --preset release > /dev/null
cmake --build --preset release --target azurecross azurecross-entry \
  azurecross-platform-standin azurecross-engine-standin azurecross-service-standin |
  tail -n 1

bin=build/release/apps
logs=$(mktemp -d)
declare -A pids
# Below the range from which the kernel takes ports for outgoing connections.
base=$((10000 + RANDOM % 20000))
store=127.0.0.1:$base

cleanup() {
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2> /dev/null || true
  done
  wait 2> /dev/null || true
  rm -rf "$logs"
}
trap cleanup EXIT

start() { # NAME PROGRAM ARGUMENTS...
  local name=$1
  shift
  "$bin/$1" "${@:2}" > "$logs/$name.out" 2> "$logs/$name.log" &
  pids[$name]=$!
}

wait_ready() { # OPERATIONS-ADDRESS
  for _ in $(seq 100); do
    if "$bin/azurecross" send GET /readyz --entry "$1" > /dev/null 2>&1; then
      return
    fi
    sleep 0.1
  done
  echo "entry at $1 is not ready; its log:"
  cat "$logs"/*.log
  exit 1
}

send() { # ENTRY METHOD PATH ARGUMENTS...
  "$bin/azurecross" send "$2" "$3" --entry "$1" "${@:4}" 2>&1
}

title() { printf '\n== %s\n' "$1"; }

title "Start a platform stand-in, three engines of unlike speed and one service"
start platform azurecross-platform-standin --listen "$store"
start engine-a azurecross-engine-standin --listen 127.0.0.1:$((base + 1)) --tokens-per-second 60
start engine-b azurecross-engine-standin --listen 127.0.0.1:$((base + 2)) --tokens-per-second 30
start engine-c azurecross-engine-standin --listen 127.0.0.1:$((base + 3)) --tokens-per-second 15
start desk azurecross-service-standin --listen 127.0.0.1:$((base + 4))
sleep 0.5

cat > "$logs/tables.json" << JSON
{
  "pools": [
    { "name": "engines", "kind": "engine", "models": ["assistant"],
      "memory_tokens": 100000, "max_concurrent": 16,
      "backend_servers": [
        { "id": "engine-a", "address": "127.0.0.1:$((base + 1))", "availability_zone": "north" },
        { "id": "engine-b", "address": "127.0.0.1:$((base + 2))", "availability_zone": "south" },
        { "id": "engine-c", "address": "127.0.0.1:$((base + 3))", "availability_zone": "south" } ] },
    { "name": "desk", "kind": "service", "max_concurrent": 8,
      "backend_servers": [
        { "id": "desk-1", "address": "127.0.0.1:$((base + 4))", "availability_zone": "north" } ] }
  ],
  "routes": [
    { "name": "plans", "kind": "generation", "path_prefix": "/v1", "models": ["assistant"],
      "pool": "engines", "rank": "urgent" },
    { "name": "bookings", "kind": "service", "path_prefix": "/bookings", "pool": "desk",
      "rank": "urgent", "idempotent": "by_method" }
  ]
}
JSON

title "Write the tables"
"$bin/azurecross" apply "$logs/tables.json" --store "$store" --author demo

title "Start two entries in zone north and one in zone south"
seeds=127.0.0.1:$((base + 12)),127.0.0.1:$((base + 22)),127.0.0.1:$((base + 32))
for n in 1 2 3; do
  zone=north
  [ "$n" != 3 ] || zone=south
  start "entry-$n" azurecross-entry --entry-id "entry-$n" --availability-zone "$zone" \
    --listen 127.0.0.1:$((base + n * 10)) \
    --operations-listen 127.0.0.1:$((base + n * 10 + 1)) \
    --peer-listen 127.0.0.1:$((base + n * 10 + 2)) \
    --peers "$seeds" --store "$store" --workers 2
done
for n in 1 2 3; do
  wait_ready 127.0.0.1:$((base + n * 10 + 1))
done
one=127.0.0.1:$((base + 10))
two=127.0.0.1:$((base + 20))
three=127.0.0.1:$((base + 30))
echo "3 entries are ready"

title "A streamed generation through entry-1 (zone north)"
send "$one" POST /v1/completions \
  --body '{"model":"assistant","prompt":"coat plan for booth 4","max_tokens":5,"stream":true}' |
  cut -c1-160

title "A whole answer through entry-3 (zone south)"
send "$three" POST /v1/completions \
  --body '{"model":"assistant","prompt":"finish","max_tokens":5}' | cut -c1-300

title "A booking that is not idempotent, through entry-2"
send "$two" POST /bookings/42 --body '{"booth":4}'

title "The same booking twice under one key, through two entries: one run"
for entry in "$one" "$two"; do
  send "$entry" POST /bookings/43 --body '{"booth":5}' --idempotency-key demo-43 --customer demo
done
echo "runs seen by the service:"
"$bin/azurecross" send GET /test/log --entry 127.0.0.1:$((base + 4)) 2> /dev/null |
  grep -o '/bookings/43' | wc -l

title "An unknown model is refused"
send "$one" POST /v1/completions --body '{"model":"none","prompt":"x"}' || true

title "Edit a route: plans become lesser work; no restart"
"$bin/azurecross" edit routes/plans rank=lesser --store "$store" --author demo
for _ in $(seq 50); do
  "$bin/azurecross" explain POST /v1/completions --model assistant \
    --entries 127.0.0.1:$((base + 11)) | grep -q '"rank":"lesser"' && break
  sleep 0.1
done
"$bin/azurecross" explain POST /v1/completions --model assistant --entries 127.0.0.1:$((base + 11))
"$bin/azurecross" audit --store "$store" --limit 2

title "Drain entry-3 in the middle of a stream (SIGTERM): the stream finishes"
send "$three" POST /v1/completions \
  --body '{"model":"assistant","prompt":"long","max_tokens":60,"stream":true}' \
  > "$logs/stream.txt" &
stream=$!
sleep 1
kill -TERM "${pids[entry-3]}"
sleep 0.3
echo "a new request during the drain:"
send "$three" POST /v1/completions --body '{"model":"assistant","prompt":"x"}' | cut -c1-200 || true
wait "$stream" || true
echo "tokens delivered: $(grep -c '^data: {' "$logs/stream.txt") of 60, end: $(grep '^data: \[' "$logs/stream.txt")"
wait "${pids[entry-3]}" && echo "entry-3 ended with status 0"

title "Status of entry-1"
"$bin/azurecross" status --entries 127.0.0.1:$((base + 11))
