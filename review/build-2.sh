#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases, which one program holds.
set -eu
cd "$(dirname "$0")/.."
CGO_ENABLED=1 go build -o target/harness2 ./review/harness2
