#!/usr/bin/env bash
# Runs a case: run-case.sh NAME FOLDER. Its record goes to record.txt in the folder; the exit code is that of the case.
set -uo pipefail
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.."
[ -x target/basilbend ] && [ -x review/build/cases ] || exit 2
work=$(mktemp -d)
timeout -k 2 117 review/build/cases "$1" "$folder/record.txt" "$work"
code=$?
for record in "$work"/*.record; do
    [ -f "$record" ] && { echo "-- ${record##*/}, times since its start"; cat "$record"; } >> "$folder/record.txt"
done
rm -rf "$work"
[ "$code" -le 2 ] || code=2
exit "$code"
