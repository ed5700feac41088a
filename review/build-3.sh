#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. They need the standard library
# only, so that no network is used.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root/review/standins-3"
go build -o "$root/target/review-3/standins" .
