#!/bin/sh
# Builds the stand-ins of the review's cases. Run it in the root of the repository, after the build of
# deploy/system.toml, which builds target/lentilrock. The sources end in .go.src, so that tests, linter and formatter
# leave them out; they are built from a copy under target/.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review/source
for file in review/driver/*.go.src; do
	cp "$file" "target/review/source/$(basename "$file" .src)"
done
go build -tags review -o target/review/driver ./target/review/source
