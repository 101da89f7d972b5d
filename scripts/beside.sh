#!/usr/bin/env bash
# Measures REAL hillforkd processes beside HOLLOW hollow nodes over loopback, at rest, for about three minutes.
# usage: scripts/beside.sh [HOLLOW] [REAL]
set -euo pipefail
cd "$(dirname "$0")/.."
hollow=${1:-27}
real=${2:-3}
work=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait || true
  rm -rf "$work"
}
trap finish EXIT

go build -o "$work/" ./cmd/hillforkd ./cmd/hillfork-lab
"$work/hillfork-lab" beside --hollow "$hollow" --real "$real" --settings "$work/settings" &
lab=$!
for ((i = 1; i <= real; i++)); do
  until [ -s "$work/settings/real-$i.yaml" ]; do
    kill -0 "$lab" || exit 1
    sleep 1
  done
  "$work/hillforkd" --config "$work/settings/real-$i.yaml" &
  pids+=($!)
done
wait "$lab"
