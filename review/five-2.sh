#!/usr/bin/env bash
# Plays a case five times, then once with TROUBLE=0, and prints the exit code and the last line of the record of each.
# usage: review/five-2.sh CASE
cd "$(dirname "$0")/.." || exit 2
for play in 1 2 3 4 5; do
    review/"$1"/run.sh
    echo "play $play: exit $?; $(tail -n 1 "review/$1/record.txt")"
done
TROUBLE=0 review/"$1"/run.sh
echo "TROUBLE=0: exit $?; $(tail -n 1 "review/$1/record.txt")"
