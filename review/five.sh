#!/usr/bin/env bash
# Plays one case five times with its fault and once without, and prints the exit codes.
# usage: review/five.sh N
cd "$(dirname "$0")" || exit 2
for play in 1 2 3 4 5; do
    "$1/run.sh"
    echo "case $1 play $play: $? $(tail -n 1 "$1/record.txt")"
done
cp "$1/record.txt" "$1/record.tmp"
TROUBLE=0 "$1/run.sh"
echo "case $1 without the fault: $? $(tail -n 1 "$1/record.txt")"
mv "$1/record.tmp" "$1/record.txt"
