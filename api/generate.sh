#!/usr/bin/env bash
# Regenerates api/fescuepb. The build does not need it: the output is committed.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
PATH="$bin:$PATH" protoc -I api --go_out=api/fescuepb --go_opt=paths=source_relative \
  --go-grpc_out=api/fescuepb --go-grpc_opt=paths=source_relative api/fescue.proto
