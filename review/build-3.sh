#!/usr/bin/env bash
# Builds the stand-ins and the cases of the third review into build-review-3/. Needs what the deploy file's build needs.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/stand-3 -B build-review-3 >/dev/null
cmake --build build-review-3 -j 8
