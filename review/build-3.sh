#!/usr/bin/env bash
# Builds the stand-ins of the cases of the third review, after the build of deploy/system.toml. It needs no network. The sources
# end in .go.src, so that tests, linter and formatter leave them out; they are built from a copy under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
source=target/review-3/source
rm -rf "$source"
mkdir -p "$source"
for file in review/driver-3/*.go.src; do
	cp "$file" "$source/$(basename "$file" .src)"
done
go build -tags review3 -o target/review-driver-3 "./$source"
