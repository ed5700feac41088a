#!/usr/bin/env bash
# Checks formatting and style with the tools that tools/go.mod pins.
set -euo pipefail
cd "$(dirname "$0")/.."
unformatted=$(go tool -modfile=tools/go.mod gofumpt -l .)
if [ -n "$unformatted" ]; then
  echo "not formatted with gofumpt:" >&2
  echo "$unformatted" >&2
  exit 1
fi
go vet ./...
go tool -modfile=tools/go.mod staticcheck -checks all ./...
