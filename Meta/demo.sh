#!/usr/bin/env bash
# Starts a stand-in platform, stand-in engines, a stand-in service and two real
# routers; sends a streamed chat, a stock lookup and a booking, and prints the
# results. Every process listens on 127.0.0.1 and is stopped at the end.
set -euo pipefail
cd "$(dirname "$0")/.."

build_directory=${LYCHEESEAM_BUILD:-Build/Default}
folder=$(mktemp -d)
process_ids=()

say() { printf '\n== %s\n' "$*"; }

# Ends each process that this script started, by its id.
stop_all() {
  local id
  for id in "${process_ids[@]}"; do
    kill "$id" 2>/dev/null || true
  done
  for id in "${process_ids[@]}"; do
    wait "$id" 2>/dev/null || true
  done
  rm -rf "$folder"
}
trap stop_all EXIT

# Sets next_port to a port on which no process listens and which has not been
# used before.
next_port=${LYCHEESEAM_DEMO_PORT:-18400}
take_port() {
  next_port=$((next_port + 1))
  while (exec 3<>"/dev/tcp/127.0.0.1/$next_port") 2>/dev/null; do
    next_port=$((next_port + 1))
  done
}

# Starts a command as process NAME and waits until PORT accepts connections.
start() {
  local name=$1 port=$2
  shift 2
  "$build_directory/$@" > "$folder/$name.log" 2>&1 &
  process_ids+=($!)
  local try
  for try in $(seq 1 100); do
    if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
      echo "$name listens on 127.0.0.1:$port (process ${process_ids[-1]})"
      return
    fi
    sleep 0.1
  done
  echo "demo: $name doesn't listen on 127.0.0.1:$port after $try tries; its output:" >&2
  cat "$folder/$name.log" >&2
  exit 1
}

digest_of() { printf %s "$1" | sha256sum | cut -d' ' -f1; }

# Prints the configuration proposal: one pool of engines and one of services,
# three routes, one workspace and its key.
rows() {
  jq -n --arg key "$(digest_of "$caller_key")" \
    --argjson engine1 "$engine1" --argjson engine2 "$engine2" --argjson service "$service" '
    def server($id; $port): {id: $id, address: "127.0.0.1:\($port)", failure_domain: "bangkok-1"};
    def put($kind; $name; $row): {($kind): {name: $name, base: 0, row: $row}};
    [ put("workspace"; "shop-17"; {name: "shop-17", rate_tokens_per_s: 2000, burst_tokens: 20000}),
      put("key"; $key; {digest: $key, workspace: "shop-17", label: "demo"}),
      put("pool"; "assistant"; {name: "assistant", kind: "model", model: "tuk-tuk-7b", weights: "v1",
        servers: [server("engine-1"; $engine1), server("engine-2"; $engine2)]}),
      put("pool"; "ledger"; {name: "ledger", kind: "service", servers: [server("ledger-1"; $service)]}),
      put("route"; "chat"; {name: "chat", path_prefix: "/v1/", model: "tuk-tuk-7b", pool: "assistant", resume: "other_server"}),
      put("route"; "stock"; {name: "stock", path_prefix: "/stock", pool: "ledger"}),
      put("route"; "bookings"; {name: "bookings", path_prefix: "/bookings", pool: "ledger", idempotency: "non_idempotent"}) ]
    | {config_proposal: {origin: {proposal: "demo", instance: "demo", incarnation: 1, last_offset: 1000},
       operator: "demo", changes: .}}'
}

settings() {
  local name=$1 callers=$2 admin=$3 peers=$4 other=$5
  jq -n --arg name "$name" --arg callers "127.0.0.1:$callers" --arg admin "127.0.0.1:$admin" \
    --arg peers "127.0.0.1:$peers" --arg other "127.0.0.1:$other" --arg platform "127.0.0.1:$platform" \
    --arg operator "$(digest_of "$operator_key")" '
    {instance: $name, failure_domain: "bangkok-1", platform: $platform, peers: [$other],
     listen: {callers: $callers, admin: $admin, peers: $peers},
     operators: [{name: "demo", key_digest: $operator}]}' > "$folder/$name.json"
}

# Sends a request to a router with the demo caller's key.
ask() {
  local port=$1 path=$2
  shift 2
  curl --silent --show-error --no-buffer --max-time 20 -H "Authorization: Bearer $caller_key" "$@" "http://127.0.0.1:$port$path"
}

caller_key=demo-caller-key
operator_key=demo-operator-key
for variable in platform engine1 engine2 service callers1 admin1 peers1 callers2 admin2 peers2; do
  take_port
  declare "$variable=$next_port"
done

say "Starting the stand-ins: a platform, two model engines, a ledger service"
start platform "$platform" StandIns/PlatformProgram/standin-platform --port="$platform"
start engine-1 "$engine1" StandIns/Engine/standin-engine --id=engine-1 --port="$engine1" --tokens_per_second=40
start engine-2 "$engine2" StandIns/Engine/standin-engine --id=engine-2 --port="$engine2" --tokens_per_second=40
start ledger-1 "$service" StandIns/Service/standin-service --id=ledger-1 --port="$service"

say "Writing routes, pools, a workspace and a key to the platform's configuration log"
rows | curl --silent --fail --data-binary @- "http://127.0.0.1:$platform/v1/log/records"
echo

say "Starting two routers"
settings router-1 "$callers1" "$admin1" "$peers1" "$peers2"
settings router-2 "$callers2" "$admin2" "$peers2" "$peers1"
start router-1 "$callers1" Services/lycheeseamd/lycheeseamd --config="$folder/router-1.json"
start router-2 "$callers2" Services/lycheeseamd/lycheeseamd --config="$folder/router-2.json"
for port in "$callers1" "$callers2"; do
  for _ in $(seq 1 100); do
    [ "$(ask "$port" /stock -o /dev/null -w '%{http_code}')" = 200 ] && break
    sleep 0.1
  done
done

prompt=$(printf 'You answer for a licensed map shop. %.0s' $(seq 1 60))
chat_body=$(jq -n --arg prompt "$prompt" '{model: "tuk-tuk-7b", stream: true, max_tokens: 12,
  messages: [{role: "system", content: $prompt}, {role: "user", content: "Which maps of Ayutthaya are there? [name:maps]"}]}')
trace=4bf92f3577b34da6a3ce929d0e0e4736

say "A streamed chat through router-1 (the stand-in answers with numbered words)"
ask "$callers1" /v1/chat/completions -H "traceparent: 00-$trace-00f067aa0ba902b7-01" -d "$chat_body" |
  sed -n 's/^data: //p' | while read -r event; do
    [ "$event" = "[DONE]" ] && { echo; echo "[DONE]"; continue; }
    jq -j '.choices[0].delta.content // empty, (if .usage then "\nusage: " + (.usage | tojson) else empty end)' <<< "$event"
  done

say "The same prompt through router-2: the usage shows the tokens found in the engine's cache"
ask "$callers2" /v1/chat/completions -d "$(jq '.stream = false' <<< "$chat_body")" | jq -c '{text: .choices[0].message.content, usage}'

say "A stock lookup through router-2"
ask "$callers2" "/stock/sheet-5137" | jq -c '{server, method, target, seen_key: any(.headers[]; .name == "Authorization")}'

say "A booking through router-1, and the same booking again through router-2"
for port in "$callers1" "$callers2"; do
  ask "$port" /bookings -H "Idempotency-Key: demo-booking-1" -d '{"id": "demo-booking-1"}' | jq -c '{server, runs, error}'
done
echo "number of times that the ledger ran it:"
curl --silent "http://127.0.0.1:$service/control/counts" | jq -c .runs

say "A request without a key"
curl --silent -i "http://127.0.0.1:$callers1/stock" | tr -d '\r' | grep -iE '^HTTP|verdict'

say "Stopping all started processes: ${process_ids[*]}"
