#!/usr/bin/env bash
# Builds the programs of the cases, with all of their stand-ins, into target/review.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
GOWORK=off GOPROXY=off go build -buildvcs=false -o ../target/review/ ./cmd/...
