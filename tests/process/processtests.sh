#!/usr/bin/env bash
# Process tests: real daemons on loopback with the stand-ins. No check depends
# on how long something takes; waits end when what they wait for has happened,
# or fail after a generous limit.
#
# Usage: processtests.sh BUILD_DIR [TEST...]
set -uo pipefail
cd "$(dirname "$0")/../.."
export BUILD_DIR=$1
shift
source scripts/cluster.sh

failures=0
fail() {
  echo "FAILED $current: $*" >&2
  failures=$((failures + 1))
}

# await LIMIT_SECONDS COMMAND...: repeats the command until it succeeds.
await() {
  local tries=$(($1 * 10))
  shift
  while ! "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    [ $tries -le 0 ] && return 1
    sleep 0.1
  done
}

chat() {
  local host=$1 tokens=$2 stream=$3
  curl -sS -N --max-time 60 "http://${CALLERS[$host]}/v1/chat/completions" \
    -H "Authorization: Bearer $CUSTOMER_KEY" -H 'Content-Type: application/json' \
    -d "{\"model\":\"cedar-7b@3\",\"stream\":$stream,\"max_tokens\":$tokens,
         \"messages\":[{\"role\":\"user\",\"content\":\"in stock?\"}]}"
}

book() {
  curl -sS --max-time 60 "http://${CALLERS[$1]}/services/slots/book" -H "Authorization: Bearer $CUSTOMER_KEY" \
    -H "Idempotency-Key: $2" -H 'Content-Type: application/json' -d '{"street":"Abai 12"}'
}

executions() { curl -sS "http://${ENDPOINTS[r1]}/control/executions"; }

# True when a file holds a whole stream of so many tokens, each once, in order.
whole_stream() {
  local ids
  ids=$(sed -n 's/^id: //p' "$1" | tr '\n' ' ')
  [ "$ids" = "$(seq -s ' ' 0 $(($2 - 1))) " ] && tail -n 3 "$1" | grep -q '\[DONE\]'
}

status_of() { curl -sS -o /dev/null -w '%{http_code}' --max-time 20 "$@"; }

apply_tables() {
  cp examples/quickstart/*.toml "$CLUSTER_DIR/"
  ctl apply --routes "$CLUSTER_DIR/routes.toml" --pools "$CLUSTER_DIR/pools.toml" --wait >/dev/null
}

test_engine_dies_under_stream() {
  chat k1 400 true >"$CLUSTER_DIR/stream" &
  local caller=$!
  await 20 grep -q '^id: 20$' "$CLUSTER_DIR/stream" || fail "no stream"
  local busy=ke1
  curl -sS "http://${ENDPOINTS[ke1]}/load" | grep -q '"running":1' || busy=ke2
  kill -KILL "${PIDS[$busy]}"
  wait $caller
  whole_stream "$CLUSTER_DIR/stream" 400 || fail "the stream is not whole"
}

test_sigterm_finishes_streams() {
  chat u1 400 true >"$CLUSTER_DIR/stream" &
  local caller=$!
  await 20 grep -q '^id: 5$' "$CLUSTER_DIR/stream" || fail "no stream"
  kill -TERM "${PIDS[u1]}"
  wait $caller
  whole_stream "$CLUSTER_DIR/stream" 400 || fail "the stream was cut off"
  wait "${PIDS[u1]}" || fail "the daemon says that it cut something off"
  grep -q 'grace period ended' "$CLUSTER_DIR/u1.err" && fail "the daemon did not leave by itself"
  return 0
}

test_booking_survives_killed_host() {
  local key
  key=$(new_key)
  book k2 "$key" >"$CLUSTER_DIR/first" 2>/dev/null &
  local caller=$!
  await 20 sh -c "curl -sS http://${ENDPOINTS[r1]}/control/executions | grep -q $key" ||
    fail "the booking never reached the runner"
  kill -KILL "${PIDS[k2]}"
  wait $caller
  book k1 "$key" >"$CLUSTER_DIR/second"
  executions | grep -q "\"$key\":1" || fail "ran other than once: $(executions)"
  grep -q -e "\"execution\":1" -e '"outcome":"unknown"' "$CLUSTER_DIR/second" ||
    fail "neither the outcome nor unknown: $(cat "$CLUSTER_DIR/second")"
}

test_store_outage_serves_on() {
  local key
  key=$(new_key)
  curl -sS -X PUT "http://$PLATFORM/control/mode?mode=down" -o /dev/null
  chat k1 5 true >"$CLUSTER_DIR/stream"
  whole_stream "$CLUSTER_DIR/stream" 5 || fail "no answer in the outage"
  book k1 "$key" >"$CLUSTER_DIR/booked"
  grep -q '"execution":1' "$CLUSTER_DIR/booked" || ctl endpoints >&2
  grep -q '"execution":1' "$CLUSTER_DIR/booked" || fail "no booking in the outage: $(cat "$CLUSTER_DIR/booked")"
  curl -sS -X PUT "http://$PLATFORM/control/mode?mode=ok" -o /dev/null
  book k1 "$key" >/dev/null
  executions | grep -q "\"$key\":1" || fail "ran other than once after the outage"
}

test_bad_input_is_refused() {
  local url=http://${CALLERS[k1]} auth="Authorization: Bearer $CUSTOMER_KEY"
  local chat=$url/v1/chat/completions book=$url/services/slots/book
  expect_status() {
    local want=$1 got
    shift
    got=$(status_of "$@")
    [ "$got" = "$want" ] || fail "status $got, not $want: $*"
  }
  expect_status 400 "$chat" -H "$auth" -d '{"model":'
  expect_status 404 "$chat" -H "$auth" -d '{"model":"none","messages":[{"role":"user","content":"x"}]}'
  expect_status 404 "$url/services/none/x" -H "$auth" -d x
  expect_status 400 "$book" -H "$auth" -d x
  expect_status 400 "$book" -H "$auth" -H 'Idempotency-Key: 550e8400-e29b-41d4-a716-446655440000' -d x
  expect_status 504 "$chat" -H "$auth" -H 'Request-Timeout: 0' -d x
  expect_status 401 "$chat" -H 'Authorization: Bearer cbk1.umusozi.0.00' -d x
  expect_status 404 "$url/other" -H "$auth"
  expect_status 405 -X DELETE "$chat" -H "$auth"
  head -c 9000000 /dev/zero >"$CLUSTER_DIR/large"
  expect_status 413 "$chat" -H "$auth" -H 'Expect:' --data-binary @"$CLUSTER_DIR/large"
  # A booking of another region is refused from its head.
  expect_status 421 "http://${CALLERS[u2]}/services/slots/book" -H "$auth" -H "Idempotency-Key: $(new_key)" -d x
  executions | grep -q 550e8400 && fail "a refused booking ran"
}

test_paths_arrive_unchanged() {
  curl -sS --max-time 60 "http://${CALLERS[k1]}/services/slots/street%20one/book" \
    -H "Authorization: Bearer $CUSTOMER_KEY" -H "Idempotency-Key: $(new_key)" -d x >"$CLUSTER_DIR/booked"
  # The runner's stand-in shows the path decoded once.
  grep -q '"path":"/street one/book"' "$CLUSTER_DIR/booked" ||
    fail "the runner saw another path: $(cat "$CLUSTER_DIR/booked")"
}

test_caller_leaves_midstream() {
  curl -sS -N --max-time 60 "http://${CALLERS[k1]}/v1/chat/completions" -H "Authorization: Bearer $CUSTOMER_KEY" \
    -d '{"model":"cedar-7b@3","stream":true,"max_tokens":100000,"messages":[{"role":"user","content":"x"}]}' \
    >"$CLUSTER_DIR/stream" &
  local caller=$!
  await 20 grep -q '^id: 5$' "$CLUSTER_DIR/stream" || fail "no stream"
  kill -TERM $caller
  idle() {
    local name
    for name in ke1 ke2 me1 me2; do
      curl -sS "http://${ENDPOINTS[$name]}/load" 2>/dev/null | grep -q '"running":[1-9]' && return 1
    done
    return 0
  }
  await 30 idle || fail "an engine still works for a caller that left"
}

test_change_reaches_every_region() {
  sed -i 's/default_deadline = "60s"/default_deadline = "50s"/' "$CLUSTER_DIR/routes.toml"
  ctl apply --routes "$CLUSTER_DIR/routes.toml" --pools "$CLUSTER_DIR/pools.toml" --wait |
    grep -q musanze || fail "musanze is not named"
  local host
  for host in k1 u2; do
    await 15 sh -c "$BUILD_DIR/src/ctl/celerybeamctl status --operator ${OPERATORS[$host]} \
      --token-file $CLUSTER_DIR/operator.token --output json | grep -q '\"revision\": *2'" ||
      fail "$host has no revision 2"
  done
}

tests=("$@")
[ ${#tests[@]} -eq 0 ] && tests=(bad_input_is_refused paths_arrive_unchanged
  caller_leaves_midstream
  change_reaches_every_region store_outage_serves_on sigterm_finishes_streams
  engine_dies_under_stream booking_survives_killed_host)

current=start
trap cluster_stop EXIT
cluster_start >/dev/null || exit 1
apply_tables || fail "the tables were refused"
cluster_wait_ready || fail "the hosts are not ready"
for current in "${tests[@]}"; do
  echo "running $current"
  "test_$current"
done
if [ $failures -gt 0 ]; then
  tail -n 20 "$CLUSTER_DIR"/k1.err >&2
  exit 1
fi
echo "${#tests[@]} passed, 0 failed"
