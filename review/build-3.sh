#!/bin/bash
# Builds what the scripts of the cases 11 to 15 start beside the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/rig3 ./review/_rig3
