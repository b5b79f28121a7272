#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for c in review/[0-9]*/; do
	if [ -f "${c}main.go" ]; then
		go build -o "target/review/$(basename "$c")" "./$c"
	fi
done
