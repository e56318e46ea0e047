#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. It needs no network and only the standard library.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2/standin ./review/_standin-2
