#!/usr/bin/env bash
# Builds the stand-ins of the cases that are scripts, without a network.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS="-buildvcs=false" GOTOOLCHAIN=local go build -o ../../target/review-standin .
