#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays no disruption.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/build-review-3/bin/case-$(basename "$here")
[ -x "$program" ] || exit 2
timeout 110 "$program" "$root" "$here"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
