#!/bin/bash
# Builds the stand-ins that the scripts start. The program under test is built by the deploy file before.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -o ../../target/review-standin .
