#!/bin/bash
# Adds replicas of a second software version, and later has the store come back from a copy that
# lacks them while all nodes are killed and started again. Exits with 1 if more than two streams hold
# events of two versions (ORDER), 0 if not and 2 if the case cannot run. TROUBLE=0 plays the same
# without the restoration and the kill.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
folder=$(mktemp -d) || exit 2
"$root/target/review-2/standins-2" joined "$root/target/toucanhitch" "$folder" "$here/record.txt" &
play=$!
trap 'kill "$play" 2>/dev/null' TERM INT
wait "$play"
code=$?
wait "$play" 2>/dev/null
rm -rf "$folder"
[ "$code" -le 2 ] || code=2
exit "$code"
