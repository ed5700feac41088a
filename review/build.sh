#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They need no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOTOOLCHAIN=local GOPROXY=off go build -buildvcs=false -o ../../target/review-standin .
