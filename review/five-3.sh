#!/usr/bin/env bash
# Runs cases of the third review, all of them if none is named: once without the disruption and five times with it.
cd "$(dirname "$0")/.." || exit 2
cases=("$@")
[ "$#" -gt 0 ] || cases=(12 13 14 15)
for case in "${cases[@]}"; do
    TROUBLE=0 review/"$case"/run.sh
    echo "case $case without trouble: $?"
    for _ in 1 2 3 4 5; do
        review/"$case"/run.sh
        echo "case $case: $?"
    done
done
