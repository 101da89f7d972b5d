#!/usr/bin/env bash
# Writes all generated code anew: protobuf and Connect from proto/, msgp from the go:generate lines.
set -euo pipefail
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd tools && GOBIN="$bin" go install tool)
(cd proto && PATH="$bin:$PATH" buf generate)
go generate ./...
