#!/usr/bin/env bash
# Builds the programs of the cases of the second review, with the stand-ins that they start.
# The router itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for main in review/6 review/7 review/8 review/9 review/10; do
	if [ -f "$main/main.go" ]; then
		go build -o "target/review-$(basename "$main")" "./$main"
	fi
done
