#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. The build of the deploy file goes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/standin ./review/_standin-3
