#!/usr/bin/env bash
# Runs each case of the third review once without its disruption and five times with it.
cd "$(dirname "$0")/.." || exit 2
for case in "${@:-11 12}"; do
    TROUBLE=0 review/"$case"/run.sh
    echo "case $case without trouble: $?"
    for _ in 1 2 3 4 5; do
        review/"$case"/run.sh
        echo "case $case: $?"
    done
done
