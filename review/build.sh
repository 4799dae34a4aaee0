#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, into target/. The project's program is built as in the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-harness ./review/harness
