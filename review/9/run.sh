#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/masticleverd ] && [ -x build-review-2/trial-9 ] || exit 2
timeout -k 5 110 build-review-2/trial-9 "$PWD" "$PWD/review/9/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
