#!/usr/bin/env bash
# Functions that start a small set of stand-ins and entry hosts on loopback,
# for the quickstart, the process tests and the bench. Sourced; or run as
# `scripts/cluster.sh stop DIR` to stop one that was left running.

BIN_DIR=${BUILD_DIR:-build}
SLOTS=4
ENGINE_OPTIONS="--first-token-ms 20 --token-ms 5"
declare -A CALLERS OPERATORS PEERS ENDPOINTS PIDS

# Writes the id of a process so that it can be stopped later.
remember_pid() { PIDS[$1]=$2; echo "$2" >>"$CLUSTER_DIR/pids"; }

# Waits for a line that starts with "ready" in a file and prints its rest.
await_ready() {
  local tries=0
  until grep -q '^ready' "$1" 2>/dev/null; do
    tries=$((tries + 1))
    if [ $tries -gt 300 ]; then
      echo "not ready: $1" >&2
      cat "${1%.out}.err" >&2
      return 1
    fi
    sleep 0.1
  done
  sed -n 's/^ready //p' "$1"
}

# start_fake NAME ROLE [OPTIONS]: prints nothing; sets ENDPOINTS[NAME].
start_fake() {
  local name=$1 role=$2
  shift 2
  "$BIN_DIR/tests/fakes/celerybeam-fakes" "$role" --port 0 "$@" \
    >"$CLUSTER_DIR/$name.out" 2>"$CLUSTER_DIR/$name.err" &
  remember_pid "$name" $!
  local line
  line=$(await_ready "$CLUSTER_DIR/$name.out")
  ENDPOINTS[$name]=${line##* }
}

write_settings() {
  local name=$1 region=$2
  cat >"$CLUSTER_DIR/$name.toml" <<EOF
[host]
id = "$name"
region = "$region"
zone = "$region-a"
[callers]
listen = "127.0.0.1:0"
[operators]
listen = "127.0.0.1:0"
token_file = "operator.token"
[peers]
listen = "127.0.0.1:0"
curve_secret_key_file = "$name.key"
permitted_keys = [$CURVE_KEYS]
[platform]
addresses = ["$PLATFORM"]
[customers]
key_secret_files = ["customer.secret"]
[log]
format = "json"
EOF
}

# start_host NAME REGION: starts an entry host; needs its settings.
start_host() {
  local name=$1 line
  : >"$CLUSTER_DIR/$name.out"
  "$BIN_DIR/src/app/celerybeamd" --config "$CLUSTER_DIR/$name.toml" --announce \
    >"$CLUSTER_DIR/$name.out" 2>>"$CLUSTER_DIR/$name.err" &
  remember_pid "$name" $!
  line=$(await_ready "$CLUSTER_DIR/$name.out")
  local callers=${line#*callers=} operators=${line#*operators=} peers=${line#*peers=}
  CALLERS[$name]=127.0.0.1:${callers%% *}
  OPERATORS[$name]=127.0.0.1:${operators%% *}
  PEERS[$name]=127.0.0.1:${peers%% *}
}

region_of() { case $1 in k*) echo kigali ;; *) echo musanze ;; esac; }

# Tells the platform's stand-in all hosts and endpoints that run now.
list_hosts() {
  local hosts="" rows="" name kind label
  for name in "${!CALLERS[@]}"; do
    hosts+="${hosts:+,}{\"id\":\"$name\",\"caller_address\":\"${CALLERS[$name]}\",
      \"peer_address\":\"${PEERS[$name]}\",\"region\":\"$(region_of "$name")\",
      \"zone\":\"$(region_of "$name")-a\",\"leaving\":false}"
  done
  for name in "${!ENDPOINTS[@]}"; do
    [ "$name" = platform ] && continue
    local region=kigali
    kind=engine label=cedar-7b
    [[ $name == r* ]] && kind=runner label=slots
    [[ $name == me* ]] && region=musanze
    rows+="${rows:+,}{\"id\":\"$name\",\"address\":\"${ENDPOINTS[$name]}\",
      \"region\":\"$region\",\"zone\":\"$region-a\",\"kind\":\"$kind\",
      \"label\":\"$label\",\"slots\":$SLOTS,\"leaving\":false}"
  done
  curl -sS -X PUT "http://$PLATFORM/control/hosts" -o /dev/null \
    -d "{\"entry_hosts\":[$hosts],\"endpoints\":[$rows]}"
}

# Starts the whole set: platform, four engines, a runner, four entry hosts.
cluster_start() {
  CLUSTER_DIR=${CLUSTER_DIR:-$(mktemp -d)}
  local name
  "$BIN_DIR/src/ctl/celerybeamctl" keygen --customer "$CLUSTER_DIR/customer.secret" >/dev/null
  "$BIN_DIR/src/ctl/celerybeamctl" keygen --token "$CLUSTER_DIR/operator.token" >/dev/null
  CUSTOMER_KEY=$("$BIN_DIR/src/ctl/celerybeamctl" customer-key umusozi \
    --secret-file "$CLUSTER_DIR/customer.secret")
  CURVE_KEYS=""
  for name in k1 k2 u1 u2; do
    CURVE_KEYS+="${CURVE_KEYS:+, }'$("$BIN_DIR/src/ctl/celerybeamctl" keygen \
      --curve "$CLUSTER_DIR/$name.key")'"
  done
  start_fake platform platform
  PLATFORM=${ENDPOINTS[platform]}
  for name in ke1 ke2 me1 me2; do
    # shellcheck disable=SC2086
    start_fake "$name" engine --slots $SLOTS $ENGINE_OPTIONS --model cedar-7b@3
  done
  start_fake r1 runner --slots 4 --work-ms 20
  for name in k1 k2 u1 u2; do
    write_settings "$name" "$(region_of "$name")"
    start_host "$name"
  done
  list_hosts
}

# Waits until each entry host is ready and a model is known to be loaded.
cluster_wait_ready() {
  local name tries
  for name in "${!OPERATORS[@]}"; do
    tries=0
    until curl -sS -o /dev/null --fail "http://${CALLERS[$name]}/readyz" 2>/dev/null &&
      ctl_at "$name" endpoints --output json | grep -q 'cedar-7b@3'; do
      tries=$((tries + 1))
      [ $tries -gt 150 ] && echo "not ready: $name" >&2 && return 1
      sleep 0.2
    done
  done
}

cluster_stop() {
  stop_recorded "$CLUSTER_DIR"
}

# Stops the processes whose ids a folder records, then removes the folder.
stop_recorded() {
  local pid
  [ -f "$1/pids" ] || return 0
  while read -r pid; do
    kill -TERM "$pid" 2>/dev/null || true
  done <"$1/pids"
  while read -r pid; do
    wait "$pid" 2>/dev/null || true
  done <"$1/pids"
  rm -rf "$1"
}

ctl_at() {
  local host=$1
  shift
  "$BIN_DIR/src/ctl/celerybeamctl" "$@" --operator "${OPERATORS[$host]}" \
    --token-file "$CLUSTER_DIR/operator.token"
}

ctl() {
  CELERYBEAM_PLATFORM=$PLATFORM CELERYBEAM_OPERATOR=${OPERATORS[k1]} \
    CELERYBEAM_OPERATOR_TOKEN_FILE=$CLUSTER_DIR/operator.token \
    "$BIN_DIR/src/ctl/celerybeamctl" "$@"
}

# A new UUID of version 7.
new_key() {
  local time rest
  time=$(printf '%012x' "$(date +%s%3N)")
  rest=$(od -An -N10 -tx1 /dev/urandom | tr -d ' \n')
  printf '%s-%s-7%s-%x%s-%s\n' "${time:0:8}" "${time:8:4}" "${rest:0:3}" \
    $((8 + RANDOM % 4)) "${rest:3:3}" "${rest:6:12}"
}

if [ "${BASH_SOURCE[0]}" = "$0" ] && [ "${1:-}" = stop ]; then
  stop_recorded "$2"
fi
