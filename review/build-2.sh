#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review, after the build of deploy/system.toml. The sources end in .go.src, so
# that tests, linter and formatter leave them out; they are built from a copy under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
source=target/review-2/source
rm -rf "$source"
mkdir -p "$source"
for file in review/driver-2/*.go.src; do
	cp "$file" "$source/$(basename "$file" .src)"
done
go build -tags review2 -o target/review-driver-2 "./$source"
