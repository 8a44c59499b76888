#!/bin/sh
# Builds the stand-ins of the review's cases. Run it in the root of the repository, after the build of
# deploy/system.toml, which builds target/lentilrock.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/driver ./review/driver
