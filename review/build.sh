#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B target/review >/dev/null
cmake --build target/review -j8
