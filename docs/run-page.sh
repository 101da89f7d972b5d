#!/usr/bin/env bash
# Runs the sh blocks of pages one after another in one shell, as a reader would paste them: docs/run-page.sh README.md
# Processes that the blocks leave running are killed at the end.
set -euo pipefail
pages=$(realpath "$@")
cd "$(dirname "$0")/.."
script=$(awk '/^```sh$/ {inside = 1; next} /^```$/ {inside = 0} inside' $pages)
bash -euo pipefail -c 'trap "kill -KILL \$(jobs -p) 2> /dev/null || true" EXIT; set -x; eval "$1"' run-page "$script"
