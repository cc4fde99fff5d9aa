#!/usr/bin/env bash
# Plays the case and writes record.txt. Exits with 1 if the rule was broken, 0 if it held and
# 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../../.." || exit 2
folder=$(mktemp -d) || exit 2
standin=
finish() {
  [ -z "$standin" ] || kill -9 "$standin" 2>/dev/null
  [ ! -f "$folder/pids" ] || xargs -r kill -9 < "$folder/pids" 2>/dev/null
  rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' INT TERM
target/review/standin-2 runner-leaves "$here/record.txt" "$folder" &
standin=$!
wait "$standin"
code=$?
standin=
rm -f "$folder/pids"
[ "$code" -le 2 ] || code=2
exit "$code"
