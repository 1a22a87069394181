#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: the same without the disruption.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
export CELERYBEAM_GATEWAY=$root/target/platform/celerybeam-gateway
timeout -k 5 115 "$root/target/review/addedroute" "$here/record.txt" "$folder"
status=$?
[ $status -le 1 ] || status=2
exit $status
