#!/usr/bin/env bash
# Builds the stand-ins that the script cases of the third review start. The deploy file's
# build must have run before.
set -euo pipefail
cd "$(dirname "$0")/rig3"
go build -o ../../target/rig3 .
