#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review. The build tag keeps them out of all other builds.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review2 -o target/review-driver-2 ./review/driver-2
