#!/usr/bin/env bash
# Builds the stand-ins and trials of cases 6 to 10 into build-review-2/, after the build of the deploy file. Needs the
# packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/stand-2 -B build-review-2 -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build-review-2 -j "${MASTICLEVER_JOBS:-8}"
