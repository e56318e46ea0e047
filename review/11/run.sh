#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves out the
# disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/redwingshelf ] && [ -x target/review-3/standin ] || { echo "build first: the deploy file, then review/build-3.sh" >&2; exit 2; }
export TROUBLE="${TROUBLE:-1}"
exec target/review-3/standin drain review/11
