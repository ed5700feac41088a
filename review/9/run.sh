#!/bin/bash
# Kills all nodes but one at the same moment, three times, while streams of two software versions
# run, and counts the streams that go on at the node that is left. Exits with 1 if LOST is broken, 0
# if it holds and 2 if the case cannot run. TROUBLE=0 plays the same without the kills.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
folder=$(mktemp -d) || exit 2
"$root/target/review-2/standins-2" streams "$root/target/toucanhitch" "$folder" "$here/record.txt" &
play=$!
trap 'kill "$play" 2>/dev/null' TERM INT
wait "$play"
code=$?
wait "$play" 2>/dev/null
rm -rf "$folder"
[ "$code" -le 2 ] || code=2
exit "$code"
