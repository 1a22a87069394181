#!/usr/bin/env bash
# Starts stand-ins and four entry hosts in two regions on loopback, applies
# example tables, and shows a streamed answer, a booking and the status. Stops
# all it started, unless --keep is given.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/cluster.sh

keep=no
[ "${1:-}" = --keep ] && keep=yes

say() { printf '\n== %s\n' "$*"; }

scripts/install_packages.sh
say "building"
BUILD_TARGETS="celerybeamd celerybeamctl celerybeam-fakes" scripts/build.sh | tail -n 1

cluster_start
[ "$keep" = yes ] || trap cluster_stop EXIT

say "applying the two tables and waiting until they are in force everywhere"
cp examples/quickstart/*.toml "$CLUSTER_DIR/"
ctl apply --routes "$CLUSTER_DIR/routes.toml" --pools "$CLUSTER_DIR/pools.toml" --wait
cluster_wait_ready

say "which entry hosts should a caller use? (GET /v1/entries)"
curl -sS "http://${CALLERS[k1]}/v1/entries?route=quotes"; echo

say "a streamed answer through k1"
curl -sS -N "http://${CALLERS[k1]}/v1/chat/completions" \
  -H "Authorization: Bearer $CUSTOMER_KEY" -H 'Content-Type: application/json' \
  -d '{"model":"cedar-7b@3","stream":true,"max_tokens":5,
       "messages":[{"role":"user","content":"Are cedar shingles in stock?"}]}'

key=$(new_key)
say "a booking with key $key through k1"
book() {
  curl -sS "http://${CALLERS[$1]}/services/slots/book" -H "Authorization: Bearer $CUSTOMER_KEY" \
    -H "Idempotency-Key: $key" -H 'Content-Type: application/json' -d '{"street":"Abai 12"}'
  echo
}
book k1
say "the same booking sent again through k2, and how often it ran"
book k2
curl -sS "http://${ENDPOINTS[r1]}/control/executions"; echo
say "its outcome"
ctl booking "$key" --customer umusozi

say "status"
ctl status

if [ "$keep" = yes ]; then
  say "left running; stop all with: scripts/cluster.sh stop $CLUSTER_DIR"
  for host in "${!CALLERS[@]}"; do
    echo "$host callers=${CALLERS[$host]} operators=${OPERATORS[$host]}"
  done | sort
  echo "platform=$PLATFORM customer key=$CUSTOMER_KEY"
  echo "operators' token file=$CLUSTER_DIR/operator.token"
fi
