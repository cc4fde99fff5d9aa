#!/usr/bin/env bash
# Runs the case "cancelled-job" with the daemons of target/release; see claim.txt. Exits with 1 if the
# rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/review/standin ] || [ review/standin.rs -nt target/review/standin ]; then
    bash review/build.sh || exit 2
fi
temporary=$(mktemp -d) || exit 2
finish() {
    # Only daemons that this run started and that are left, after a time-out or a signal.
    if [ -e "$temporary/pids" ]; then
        while read -r pid; do
            if grep -qs cypressdrum-platform "/proc/$pid/cmdline"; then kill -9 "$pid"; fi
        done < "$temporary/pids"
    fi
    rm -rf "$temporary"
}
trap finish EXIT
trap 'kill "$standin" 2> /dev/null; exit 2' INT TERM
target/review/standin cancelled-job "$here" "$temporary" > "$temporary/output" 2>&1 &
standin=$!
wait "$standin"
result=$?
tail -n 3 "$temporary/output"
exit "$result"
