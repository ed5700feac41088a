#!/usr/bin/env bash
# Runs all tests with the race detector, except the known failures that
# KNOWN-RED.txt lists, which it prints.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=$(sed -n 's/^Test: //p' KNOWN-RED.txt | paste -sd '|' -)
if [ -n "$skip" ]; then
  echo "known failures, not run (see KNOWN-RED.txt):"
  sed -n 's/^Test: /  /p' KNOWN-RED.txt
  exec go test -race -timeout 8m -skip "^($skip)\$" ./...
fi
exec go test -race -timeout 8m ./...
