#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review. They need only the standard
# library of Go. The programs of the deploy file are built by its own build line.
set -euo pipefail
cd "$(dirname "$0")/rig2"
mkdir -p ../../target/review-2
GOWORK=off GOPROXY=off go build -buildvcs=false -o ../../target/review-2/rig2 .
