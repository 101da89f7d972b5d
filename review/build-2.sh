#!/usr/bin/env bash
# Builds the stand-ins of cases 4 to 8. Needs Go and nothing else; run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOFLAGS=-mod=mod go build -o ../../target/standin-2 .
